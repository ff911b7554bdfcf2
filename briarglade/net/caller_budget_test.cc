// Tests of who is granted memory, who waits and who is refused, in virtual
// time.

#include "briarglade/net/caller_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

namespace briarglade {
namespace {

constexpr size_t kKilobyte = 1024;
constexpr size_t kMaxBytes = 1024 * kKilobyte;
constexpr Millis kStart = Millis(1'000);

// One client's connection, and what the budget told it.
struct Client
{
  explicit Client(const std::shared_ptr<CallerBudget>& aBudget)
    : m_hold(aBudget,
             { [this] { ++m_granted; }, [this] { m_isRefused = true; } })
  {
  }

  int m_granted = 0;
  bool m_isRefused = false;
  CallerHold m_hold;
};

struct World
{
  std::unique_ptr<Client> MakeClient()
  {
    return std::make_unique<Client>(m_budget);
  }

  std::shared_ptr<CallerBudget> m_budget =
    std::make_shared<CallerBudget>(kMaxBytes);
};

TEST_CASE("large requests wait above the bound and go on in order once others "
          "are done; none of it is refused")
{
  World world;
  std::vector<std::unique_ptr<Client>> clients;
  for (int number = 0; number < 5; ++number) {
    clients.push_back(world.MakeClient());
    const bool isGranted = clients.back()->m_hold.Ask(250 * kKilobyte, kStart);
    CHECK(isGranted == (number < 3));
  }
  CHECK(world.m_budget->HeldBytes() == 750 * kKilobyte);
  CHECK(world.m_budget->WaitingCount() == 2);
  for (int number = 0; number < 3; ++number) {
    clients[number]->m_hold.SetWhole();
  }
  world.m_budget->Tick(kStart + Millis(60'000));
  clients[0]->m_hold.Release();
  CHECK(clients[3]->m_granted == 1);
  CHECK(clients[4]->m_granted == 0);
  clients.erase(clients.begin() + 1);
  CHECK(clients.back()->m_granted == 1);
  CHECK(world.m_budget->WaitingCount() == 0);
  CHECK(world.m_budget->RefusedCount() == 0);
}

TEST_CASE("small requests do not wait behind large ones")
{
  World world;
  std::vector<std::unique_ptr<Client>> clients;
  for (int number = 0; number < 10; ++number) {
    clients.push_back(world.MakeClient());
    clients.back()->m_hold.Ask(250 * kKilobyte, kStart);
  }
  const auto small = world.MakeClient();
  CHECK(small->m_hold.Ask(20 * kKilobyte, kStart));
}

TEST_CASE("one large request is granted whatever its size")
{
  World world;
  const auto first = world.MakeClient();
  const auto second = world.MakeClient();
  CHECK(first->m_hold.Ask(4 * kMaxBytes, kStart));
  CHECK_FALSE(second->m_hold.Ask(4 * kMaxBytes, kStart));
  first->m_hold.Release();
  CHECK(second->m_granted == 1);
  CHECK(second->m_hold.Bytes() == 4 * kMaxBytes);
}

TEST_CASE("clients that stop in their requests are refused once others wait "
          "for a stall time, the largest first; those that send are not")
{
  World world;
  const auto sending = world.MakeClient();
  const auto smaller = world.MakeClient();
  const auto larger = world.MakeClient();
  CHECK(sending->m_hold.Ask(260 * kKilobyte, kStart));
  CHECK(smaller->m_hold.Ask(200 * kKilobyte, kStart));
  CHECK(larger->m_hold.Ask(250 * kKilobyte, kStart));
  const Millis late = kStart + CallerBudget::kStallTime;
  sending->m_hold.NoteProgress(late);
  world.m_budget->Tick(late);
  // No one waits.
  CHECK_FALSE(larger->m_isRefused);
  const auto waiting = world.MakeClient();
  CHECK_FALSE(waiting->m_hold.Ask(240 * kKilobyte, late));
  world.m_budget->Tick(late);
  CHECK(larger->m_isRefused);
  CHECK_FALSE(smaller->m_isRefused);
  CHECK_FALSE(sending->m_isRefused);
  larger->m_hold.Release();
  CHECK(waiting->m_granted == 1);
  world.m_budget->Tick(late + Millis(1));
  CHECK_FALSE(smaller->m_isRefused);
}

TEST_CASE("requests that grow and all wait for each other do not stop for good")
{
  World world;
  std::vector<std::unique_ptr<Client>> clients;
  for (int number = 0; number < 3; ++number) {
    clients.push_back(world.MakeClient());
    CHECK(clients.back()->m_hold.Ask(250 * kKilobyte, kStart));
  }
  for (const auto& client : clients) {
    CHECK_FALSE(client->m_hold.Ask(500 * kKilobyte, kStart));
  }
  world.m_budget->Tick(kStart + CallerBudget::kStallTime);
  int refused = 0;
  for (const auto& client : clients) {
    if (client->m_isRefused) {
      ++refused;
      client->m_hold.Release();
    }
  }
  CHECK(refused > 0);
  CHECK(refused < 3);
  CHECK(clients[0]->m_granted + clients[1]->m_granted + clients[2]->m_granted >
        0);
}

TEST_CASE("a connection that ends while it waits leaves the queue")
{
  World world;
  const auto first = world.MakeClient();
  CHECK(first->m_hold.Ask(kMaxBytes, kStart));
  auto gone = world.MakeClient();
  CHECK_FALSE(gone->m_hold.Ask(500 * kKilobyte, kStart));
  gone.reset();
  CHECK(world.m_budget->WaitingCount() == 0);
  first->m_hold.Release();
  CHECK(world.m_budget->HeldBytes() == 0);
}

} // namespace
} // namespace briarglade
