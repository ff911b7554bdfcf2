// Orders and what they lead to.

#include "standin/platform_member.h"

#include <algorithm>
#include <utility>

namespace briarglade::standin {

using nlohmann::json;

namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kAccepted = 202;
constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kConflict = 409;
constexpr uint16_t kPreconditionFailed = 412;
// A join of the model that the server's last group had.
constexpr Millis kRejoinTime = Millis(200);

const char* PhaseName(GroupPhase aPhase)
{
  switch (aPhase) {
    case GroupPhase::Joining:
      return "joining";
    case GroupPhase::Ready:
      return "ready";
    case GroupPhase::Open:
      return "open";
    case GroupPhase::Closing:
      return "closing";
    case GroupPhase::Broken:
      return "broken";
  }
  return "broken";
}

} // namespace

PlatformMember::PlatformMember(PlatformMemberOptions aOptions)
  : m_options(std::move(aOptions))
{
}

void PlatformMember::Start(const std::string& aId)
{
  m_id = aId;
  m_orders = 0;
  m_fencing = 0;
  m_lowestGeneration = 0;
  m_lastModel.clear();
  m_staging.clear();
  Leave();
}

const PlatformModel* PlatformMember::FindModel(const std::string& aName) const
{
  const auto found = std::find_if(
    m_options.m_models.begin(),
    m_options.m_models.end(),
    [&](const PlatformModel& aModel) { return aModel.m_name == aName; });
  return found == m_options.m_models.end() ? nullptr : &*found;
}

bool PlatformMember::IsMine(const json& aOrder) const
{
  return IsInGroup() && aOrder.value("group", "") == m_group &&
         aOrder.value("epoch", uint64_t{ 0 }) == m_generation;
}

uint16_t PlatformMember::Take(Millis aNow, const json& aOrder)
{
  if (!aOrder.is_object()) {
    return kBadRequest;
  }
  const uint64_t fencing = aOrder.value("fencing_token", uint64_t{ 0 });
  if (m_options.m_checksFencing && fencing > 0) {
    if (fencing < m_fencing) {
      return kPreconditionFailed;
    }
    m_fencing = fencing;
  }
  if (aOrder.value("expected", m_orders) != m_orders) {
    return kConflict;
  }
  const std::string operation = aOrder.value("operation", "");
  uint16_t status = kConflict;
  if (operation == "join") {
    status = Join(aNow, aOrder);
  } else if (operation == "stage") {
    status = Stage(aNow, aOrder);
  } else if (operation != "open" && operation != "close" &&
             operation != "leave") {
    status = kBadRequest;
  } else if (IsMine(aOrder)) {
    status = operation == "open"    ? Open(aNow)
             : operation == "close" ? Close()
                                    : Leave();
  }
  m_orders += status == kAccepted ? 1 : 0;
  return status;
}

uint16_t PlatformMember::Join(Millis aNow, const json& aOrder)
{
  const std::string group = aOrder.value("group", "");
  const uint64_t generation = aOrder.value("epoch", uint64_t{ 0 });
  const std::string modelName = aOrder.value("model", "");
  const PlatformModel* model = FindModel(modelName);
  const auto members = aOrder.value("members", std::vector<std::string>());
  if (group.empty() || model == nullptr || members.empty()) {
    return kBadRequest;
  }
  if (generation < m_lowestGeneration) {
    return kPreconditionFailed;
  }
  if (IsMine(aOrder)) {
    return members == m_members ? kOk : kPreconditionFailed;
  }
  m_lowestGeneration = generation;
  m_group = group;
  m_generation = generation;
  m_model = modelName;
  m_members = members;
  m_phase = GroupPhase::Joining;
  m_isOpening = false;
  const bool isStaged = m_staged == modelName;
  m_readyAt = aNow + (m_lastModel == modelName ? kRejoinTime
                      : isStaged               ? model->m_warmTime
                                               : model->m_loadTime);
  m_lastModel = modelName;
  m_staged = modelName;
  return kAccepted;
}

uint16_t PlatformMember::Open(Millis aNow)
{
  if (m_phase == GroupPhase::Open || m_isOpening) {
    return kOk;
  }
  if (m_phase != GroupPhase::Ready || !IsHead()) {
    return kConflict;
  }
  m_isOpening = true;
  m_openAt = aNow + m_options.m_formationTime;
  return kAccepted;
}

uint16_t PlatformMember::Close()
{
  if (m_phase == GroupPhase::Ready && !m_isOpening) {
    return kOk;
  }
  m_isOpening = false;
  m_phase = GroupPhase::Ready;
  return kAccepted;
}

uint16_t PlatformMember::Leave()
{
  m_group.clear();
  m_generation = 0;
  m_model.clear();
  m_members.clear();
  m_isOpening = false;
  return kAccepted;
}

uint16_t PlatformMember::Stage(Millis aNow, const json& aOrder)
{
  const PlatformModel* model = FindModel(aOrder.value("model", ""));
  if (model == nullptr) {
    return kBadRequest;
  }
  if (m_staged == model->m_name) {
    return kOk;
  }
  m_staging = model->m_name;
  m_stagedAt = aNow + model->m_loadTime;
  return kAccepted;
}

bool PlatformMember::Advance(Millis aNow)
{
  bool hasChanged = false;
  if (IsInGroup() && m_phase == GroupPhase::Joining && aNow >= m_readyAt) {
    m_phase = GroupPhase::Ready;
    hasChanged = true;
  }
  if (m_isOpening && aNow >= m_openAt) {
    m_isOpening = false;
    m_phase = GroupPhase::Open;
    hasChanged = true;
  }
  if (!m_staging.empty() && aNow >= m_stagedAt) {
    m_staged = std::move(m_staging);
    m_staging.clear();
    hasChanged = true;
  }
  return hasChanged;
}

void PlatformMember::Break()
{
  m_phase = GroupPhase::Broken;
}

json PlatformMember::Describe() const
{
  json fields = { { "domain", m_options.m_domain },
                  { "models", json::array() },
                  { "staged", json::array() },
                  { "busy", m_phase == GroupPhase::Joining && IsInGroup() },
                  { "sequence", m_orders } };
  if (!m_staged.empty()) {
    fields["staged"].push_back(m_staged);
  }
  if (IsInGroup()) {
    const auto rank = std::find(m_members.begin(), m_members.end(), m_id);
    fields["group"] = { { "name", m_group },
                        { "epoch", m_generation },
                        { "rank", rank - m_members.begin() },
                        { "state", PhaseName(m_phase) } };
    if (m_phase != GroupPhase::Joining) {
      fields["models"].push_back({ { "name", m_model },
                                   { "version", 1 },
                                   { "adapters", json::array() } });
    }
  }
  return fields;
}

} // namespace briarglade::standin
