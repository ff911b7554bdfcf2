/* Acceptance and confirmation of facts (docs/design/model-checks.md).
 *
 * Nodes hold a version and a roster. The table takes a change by a conditional
 * write, loses answers, and may be lost for good. Any message may be lost or come
 * late: every step is optional, so a node that takes no step is one that is cut off
 * or paused. A restart forgets everything.
 *
 * Time is modelled by what had been accepted when a proof was asked for. "Expire" is
 * the end of the confirmation life, counted from the latest acceptance: a proof that
 * was asked for before that acceptance counts no longer.
 *
 * What must hold: a node that may give out new work holds every change that was
 * accepted a confirmation life ago (SERVE), and one version has one content (Hold).
 *
 * With STEPS the roster changes too. Confirmation is left out there: a round that
 * begins after the acceptance must end with the change held.
 *
 * Sizes: NODES, CHANGES, RESTARTS, STEPS (roster steps, each by one node).
 * A rule is taken out by defining its name: see spec/run.
 */

#ifndef NODES
#define NODES 3
#endif
#ifndef CHANGES
#define CHANGES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef STEPS
#define STEPS 0
#endif

#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)

/* Rosters: nodes 0 1 2, then 3 joins, then 0 leaves. */
#ifdef STEP_BY_TWO
#define ROSTER(r) ((r) == 0 -> 7 : 14)
#else
#define ROSTER(r) ((r) == 0 -> 7 : ((r) == 1 -> 15 : 14))
#endif
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#ifdef ROUND_BELOW_MAJORITY
#define NEEDED(set) (SIZE(set) / 2)
#else
#define NEEDED(set) (SIZE(set) / 2 + 1)
#endif
#define MAJORITY(part, set) (SIZE((part) & (set)) >= SIZE(set) / 2 + 1)

/* Only a node that has read the table since its start vouches and acknowledges. */
#ifdef COUNT_FORGETFUL
#define VOUCHES(i) 1
#else
#define VOUCHES(i) hasRead[i]
#endif

/* The platform's table. */
bit tableUp = 1;
byte tableVersion;
byte tableContent;   /* The writer of the version, from 1. */
byte tableRoster;

/* Each node. */
byte version[NODES];
byte content[NODES];
byte roster[NODES];
bit hasRead[NODES] = 1;
bit confirmed[NODES];
byte confirmedAsOf[NODES]; /* What was accepted at the instant of the proof. */
bit inRound[NODES];
byte roundAsOf[NODES];
byte vouched[NODES];       /* Who has vouched since the round was begun. */

/* The node that prepares a roster step, and who it knows to hold all that it does. */
byte counter = NODES;
byte counted;

/* What an observer knows. */
byte accepted;             /* The latest accepted version. */
byte expired;              /* Accepted a confirmation life ago, or longer. */
byte acked[NODES];         /* The highest version a node ever acknowledged. */
byte ackRoster[NODES];     /* The roster that it held then. */
byte restarts;

/* A node that vouches says what it holds; who counts it hears of it at once or
 * later. The first acknowledgement of a version is the one that counts: it needs
 * the smallest roster. */
inline Acknowledge(n) {
  if
  :: VOUCHES(n) && version[n] > acked[n] ->
       acked[n] = version[n]; ackRoster[n] = roster[n]
  :: else
  fi
}

/* Who was counted held what the node held before, not what it holds now. */
inline ForgetCount(n) {
  if
  :: counter == n -> counted = BIT(n)
  :: else
  fi
}

/* Takes a row that is offered: AdoptRow. */
inline Hold(n, v, c) {
  if
#ifdef ADOPT_ANY_VERSION
  :: v != version[n] ->
#else
  :: v > version[n] ->
#endif
       version[n] = v; content[n] = c; ForgetCount(n)
  :: v == version[n] -> assert(content[n] == c)
  :: else
  fi
}

inline HoldRoster(n, r) {
  if
  :: r > roster[n] -> roster[n] = r; ForgetCount(n)
  :: else
  fi
}

/* Confirms as of an instant, unless its life has passed. */
inline Confirm(n, asOf) {
  if
  :: asOf >= expired ->
       confirmed[n] = 1;
       if
       :: asOf > confirmedAsOf[n] -> confirmedAsOf[n] = asOf
       :: else
       fi
  :: else
  fi
}

/* Counts who has acknowledged a version, as far as the holder of a roster may. */
inline CountAcks(v, r, set) {
  set = 0;
  m = 0;
  do
  :: m < NODES ->
       if
       :: acked[m] >= v && ackRoster[m] <= r -> set = set | BIT(m)
       :: else
       fi;
       m++
  :: else -> break
  od
}

/* Steps of one node and of a pair, each with its guard. */
#if NODES > 3
#define EACH_NODE(STEP) STEP(0) STEP(1) STEP(2) STEP(3)
#define EACH_PAIR(STEP) STEP(0, 1) STEP(0, 2) STEP(0, 3) STEP(1, 0) STEP(1, 2) \
  STEP(1, 3) STEP(2, 0) STEP(2, 1) STEP(2, 3) STEP(3, 0) STEP(3, 1) STEP(3, 2)
#else
#define EACH_NODE(STEP) STEP(0) STEP(1) STEP(2)
#define EACH_PAIR(STEP) STEP(0, 1) STEP(0, 2) STEP(1, 0) STEP(1, 2) STEP(2, 0) \
  STEP(2, 1)
#endif

/* An operator's change: a conditional write on the version that the node holds. */
#define WRITE(x) \
  :: atomic { \
       tableUp && tableVersion < CHANGES && hasRead[x] && \
       version[x] == tableVersion -> i = x; Write() }

inline Write() {
  if
  :: tableVersion++; tableContent = i + 1;
     Hold(i, tableVersion, tableContent); Acknowledge(i)
  /* The answer is lost after the write: the row is read back by ReadTable. */
  :: tableVersion++; tableContent = i + 1
#ifdef ASSUME_WRITTEN
  /* The write is lost, and the node takes it for done. */
  :: Hold(i, version[i] + 1, i + 1); Acknowledge(i)
#endif
  fi;
  i = 0
}

#define READ_TABLE(x) :: atomic { tableUp -> i = x; ReadTable() }

inline ReadTable() {
  Hold(i, tableVersion, tableContent);
  HoldRoster(i, tableRoster);
  hasRead[i] = 1;
  Acknowledge(i);
#if STEPS == 0
  Confirm(i, accepted);
#endif
  i = 0
}

/* A push: y takes what x holds. */
#define PUSH(x, y) \
  :: atomic { \
       version[x] != version[y] || roster[x] > roster[y] || \
       (version[x] > 0 && content[x] != content[y]) -> \
       Hold(y, version[x], content[x]); \
       HoldRoster(y, roster[x]); \
       Acknowledge(y) }

/* Accepted: the table held it, and a majority of the roster acknowledged it. The
 * table may have been lost since. */
#define ACCEPT(x) :: atomic { version[x] > accepted -> i = x; Accept() }

inline Accept() {
  CountAcks(version[i], roster[i], set);
  if
#ifdef ACCEPT_BY_TABLE_ALONE
  :: version[i] <= tableVersion -> accepted = version[i]
#else
  :: MAJORITY(set, ROSTER(roster[i])) -> accepted = version[i]
#endif
  :: else
  fi;
  i = 0; set = 0; m = 0
}

#if STEPS > 0
/* A round that begins before the acceptance proves nothing about it, and one node's
 * round doesn't touch another's: with rosters one round at a time is enough. */
#define MAY_BEGIN(x) (accepted > 0 && !inRound[0] && !inRound[1] && !inRound[2] && \
  !inRound[3])
#else
#define MAY_BEGIN(x) (!inRound[x])
#endif
#define BEGIN_ROUND(x) \
  :: atomic { \
       MAY_BEGIN(x) -> \
       inRound[x] = 1; roundAsOf[x] = accepted; vouched[x] = 0 }

/* y answers x's round: x takes what is newer, then counts the vouch. */
#define ANSWER(x, y) \
  :: atomic { \
       inRound[x] && VOUCHES(y) && !HAS(vouched[x], y) -> \
       i = x; j = y; TakeAnswer() }

inline TakeAnswer() {
#ifndef COUNT_WITHOUT_ADOPTING
  Hold(i, version[j], content[j]);
  HoldRoster(i, roster[j]);
  Acknowledge(i);
#endif
  vouched[i] = vouched[i] | BIT(j);
  i = 0; j = 0
}

/* The round ends with a majority. */
#define VOUCHERS(x) ((vouched[x] | (VOUCHES(x) << x)) & ROSTER(roster[x]))
#define END_ROUND(x) \
  :: atomic { \
       inRound[x] && SIZE(VOUCHERS(x)) >= NEEDED(ROSTER(roster[x])) -> \
       i = x; EndRound() }

inline EndRound() {
#if STEPS > 0
  assert(version[i] >= roundAsOf[i] || !HAS(ROSTER(roster[i]), i));
#elif defined(COUNT_FROM_ANSWER)
  Confirm(i, accepted);
#else
  Confirm(i, roundAsOf[i]);
#endif
  inRound[i] = 0; vouched[i] = 0; roundAsOf[i] = 0;
  i = 0
}

/* y takes x's confirmation at its age, after what x holds. */
#ifdef RELAY_AS_NEW
#define RELAYED(x) accepted
#else
#define RELAYED(x) confirmedAsOf[x]
#endif
#define RELAY(x, y) \
  :: atomic { \
       confirmed[x] && version[y] >= version[x] && roster[y] >= roster[x] && \
       (!confirmed[y] || confirmedAsOf[y] < RELAYED(x)) -> \
       Confirm(y, RELAYED(x)) }

#define RESTART(x) :: atomic { restarts < RESTARTS -> i = x; Restart() }

inline Restart() {
  restarts++;
  version[i] = 0; content[i] = 0; hasRead[i] = 0; roster[i] = 0;
  confirmed[i] = 0; confirmedAsOf[i] = 0;
  inRound[i] = 0; roundAsOf[i] = 0; vouched[i] = 0;
  i = 0
}

/* x prepares the next roster step. */
#define BEGIN_COUNT(x) \
  :: atomic { \
       counter != x && tableUp && tableRoster < STEPS && \
       roster[x] == tableRoster && HAS(ROSTER(roster[x]), x) -> \
       counter = x; counted = BIT(x) }

/* x hears what y holds. What is newer is adopted first (PUSH). */
#ifdef COUNT_HOLDERS_UNHEARD
#define HOLDS_ALL(y, x) (version[y] >= version[x] && roster[y] >= roster[x])
#else
#define HOLDS_ALL(y, x) (version[y] == version[x] && roster[y] == roster[x])
#endif
#define COUNT(x, y) \
  :: atomic { counter == x && !HAS(counted, y) && HOLDS_ALL(y, x) -> \
       counted = counted | BIT(y) }

/* The step is written, by one node more or less, once the last one is settled. */
#ifdef STEP_UNSETTLED
#define SETTLED(r) 1
#else
#define SETTLED(r) \
  (MAJORITY(counted, ROSTER(r)) && ((r) == 0 || MAJORITY(counted, ROSTER((r) - 1))))
#endif
#define CHANGE_ROSTER(x) \
  :: atomic { \
       counter == x && tableUp && tableRoster < STEPS && \
       roster[x] == tableRoster && SETTLED(roster[x]) -> \
       tableRoster++; counter = NODES; counted = 0; roster[x] = tableRoster }

/* New work: asked of each node after each step that could let it be wrong. */
#define MAY_SERVE(x) (confirmed[x] && HAS(ROSTER(roster[x]), x))
#define SERVE(x) :: MAY_SERVE(x) && version[x] < expired -> assert(false)

active proctype World() {
  byte i, j, m, set;
  do
  EACH_NODE(WRITE)
  EACH_NODE(READ_TABLE)
  EACH_PAIR(PUSH)
  EACH_NODE(ACCEPT)
  EACH_NODE(BEGIN_ROUND)
  EACH_PAIR(ANSWER)
  EACH_NODE(END_ROUND)
#if STEPS > 0
  EACH_NODE(BEGIN_COUNT)
  EACH_PAIR(COUNT)
  EACH_NODE(CHANGE_ROSTER)
#else
  EACH_PAIR(RELAY)
  EACH_NODE(RESTART)
  EACH_NODE(SERVE)
#endif

  /* The table is lost for good. */
  :: atomic { tableUp -> tableUp = 0 }

#if STEPS == 0
  /* A confirmation life has passed since the latest acceptance. */
  :: atomic {
       accepted > expired ->
       expired = accepted;
#ifndef SERVE_ON_FOR_EVER
       m = 0;
       do
       :: m < NODES ->
            if
            :: confirmedAsOf[m] < expired ->
                 confirmed[m] = 0; confirmedAsOf[m] = 0
            :: else
            fi;
            m++
       :: else -> break
       od;
       m = 0
#endif
     }
#endif
  od
}
