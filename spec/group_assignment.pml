/* Group assignment in one fabric domain (docs/design/model-checks.md).
 *
 * Two planners share a lease with a fencing token. A planner may be paused between
 * any two steps; a write that it has sent may take effect at any later time. Orders
 * may reach a server at any later time and more than once, from any planner that ever
 * had the row: that is what a paused holder and a server that ignores fencing tokens
 * come to. A router serves from its copy of the row, which may be old, and from
 * what the servers report, which it keeps for a report life of two ticks.
 *
 * What must hold:
 *  - the row never gives a host to two groups, and one generation of a group has one
 *    set of members (Write);
 *  - two planners never hold the lease at once (TakeLease, Renew);
 *  - a group serves only while each member is in exactly that generation of the group,
 *    or has left it less than a report life ago (Serve).
 *
 * A rule is taken out by defining its name: see spec/run.
 *
 * The model is searched in two parts: PART_PLAN has lease, planners and row, and three
 * hosts; PART_SERVE has the row (any planner may write it at any time), two hosts that
 * both groups want, orders and the router.
 */

#ifndef WRITES
#define WRITES 2
#endif

#ifdef PART_SERVE
#define HOSTS 2
#else
#define HOSTS 3
#endif
#define HAS(set, i) (((set) >> (i)) & 1)

/* Group 0 has two members, group 1 one. Group 2 stands for none. */
#define NONE 2

/* The domain's row, by version: its history. Version 0 is empty. */
byte rowVersion;
byte members0[WRITES + 1];
byte members1[WRITES + 1];
byte generation0[WRITES + 1];
byte generation1[WRITES + 1];
#define MEMBERS(g, v) ((g) == 0 -> members0[v] : members1[v])
#define GENERATION(g, v) ((g) == 0 -> generation0[v] : generation1[v])

/* Lease: ticks that the holder counts, and ticks that the other waits. */
#define LEASE 1
byte left[2];
byte wait[2];
bit seen[2];
/* A renewal's answer that hasn't come: ticks since the write, from 1. */
byte answerDue[2];

/* The planners' copies of the row, and writes on their way. */
byte copy[2];
bit onItsWay[2];
byte writeBase[2];

/* Servers: the group and generation that they are in, ticks since they changed. */
byte group[HOSTS] = NONE;
byte generation[HOSTS];
byte changedAge[HOSTS] = 2;

/* The router. */
byte routerCopy;
byte reportGroup[HOSTS] = NONE;
byte reportGeneration[HOSTS];
byte reportAge[HOSTS] = 2;

#define ONE_HOLDER !(left[0] > 0 && left[1] > 0)

/* A write takes effect only on the version that it was worked out from. */
#if defined(WRITE_UNCONDITIONALLY) || defined(ROW_FOR_EACH_GROUP)
#define MAY_WRITE(p) 1
#else
#define MAY_WRITE(p) (writeBase[p] == rowVersion)
#endif
/* With a row for each group, each write is conditional on its own group's row. */
#ifdef ROW_FOR_EACH_GROUP
#define ROWS_UNCHANGED \
  ((g0 == generation0[b] || generation0[b] == generation0[rowVersion]) && \
   (g1 == generation1[b] || generation1[b] == generation1[rowVersion]))
#else
#define ROWS_UNCHANGED 1
#endif

/* One conditional write of the whole row: any new members for one group or both. */
inline Write(p) {
  if
  :: rowVersion < WRITES && MAY_WRITE(p) ->
       b = writeBase[p];
       n0 = members0[b]; n1 = members1[b];
       g0 = generation0[b]; g1 = generation1[b];
       if
       :: n0 = 3; g0++
#if HOSTS > 2
       :: n0 = 5; g0++
       :: n0 = 6; g0++
#endif
       :: n0 = 0; g0++
       :: skip
       fi;
       if
       :: n1 = 1; g1++
       :: n1 = 2; g1++
       :: n1 = 0; g1++
       :: skip
       fi;
       if
       :: (n0 & n1) == 0 && ROWS_UNCHANGED ->
#ifdef ROW_FOR_EACH_GROUP
            /* Each group has a row of its own: what the write doesn't change stays as
             * it is now, not as it was in the copy. */
            if
            :: g0 == generation0[b] ->
                 n0 = members0[rowVersion]; g0 = generation0[rowVersion]
            :: else
            fi;
            if
            :: g1 == generation1[b] ->
                 n1 = members1[rowVersion]; g1 = generation1[rowVersion]
            :: else
            fi;
#endif
            rowVersion++;
            members0[rowVersion] = n0; members1[rowVersion] = n1;
            generation0[rowVersion] = g0; generation1[rowVersion] = g1;
            assert((n0 & n1) == 0);
            m = 0;
            do
            :: m < rowVersion ->
                 assert(generation0[m] != g0 || members0[m] == n0);
                 assert(generation1[m] != g1 || members1[m] == n1);
                 m++
            :: else -> break
            od
       :: else
       fi
  :: else
  fi;
  onItsWay[p] = 0; writeBase[p] = 0;
  b = 0; n0 = 0; n1 = 0; g0 = 0; g1 = 0; m = 0
}

/* The holder counts its lease from before it sent the renewal. */
#define RENEW(p) \
  :: atomic { left[p] > 0 && answerDue[p] == 0 -> \
       answerDue[p] = 1; seen[1 - p] = 0; wait[1 - p] = 0 }
#ifdef COUNT_LEASE_FROM_ANSWER
#define RENEWED(p) LEASE
#else
#define RENEWED(p) (answerDue[p] > LEASE -> 0 : LEASE + 1 - answerDue[p])
#endif
#define ANSWER_RENEWAL(p) \
  :: atomic { answerDue[p] > 0 -> \
       left[p] = (RENEWED(p) > left[p] -> RENEWED(p) : left[p]); \
       answerDue[p] = 0; assert(ONE_HOLDER) }

/* The other sees the lease row's version, and waits the lease time and a margin. */
#ifdef TAKE_WITHOUT_WAITING
#define WAIT 0
#else
#define WAIT (LEASE + 1)
#endif
#define SEE_LEASE(p) \
  :: atomic { !seen[p] && left[p] == 0 -> seen[p] = 1; wait[p] = WAIT }
#define TAKE_LEASE(p) \
  :: atomic { seen[p] && wait[p] == 0 && left[p] == 0 -> \
       left[p] = LEASE; seen[p] = 0; seen[1 - p] = 0; wait[1 - p] = 0; \
       assert(ONE_HOLDER) }

#define READ_ROW(p) :: atomic { copy[p] != rowVersion -> copy[p] = rowVersion }

/* The lease is checked, then the write is sent; it may arrive at any later time. */
#define SEND_WRITE(p) \
  :: atomic { left[p] > 0 && !onItsWay[p] && copy[p] < WRITES && \
       rowVersion < WRITES -> onItsWay[p] = 1; writeBase[p] = copy[p] }
#define ARRIVE_WRITE(p) :: atomic { onItsWay[p] -> Write(p) }

/* An order of any version of the row that there ever was reaches host h. */
#define ORDER(h) \
  :: atomic { rowVersion > 0 -> i = h; Order() }

inline Order() {
  b = 1;
  do
  :: b < rowVersion -> b++
  :: break
  od;
  if
  :: HAS(members0[b], i) -> n0 = 0; g0 = generation0[b]
  :: HAS(members1[b], i) -> n0 = 1; g0 = generation1[b]
  :: !HAS(members0[b], i) && !HAS(members1[b], i) -> n0 = NONE; g0 = 0
  fi;
  if
  :: n0 != group[i] || g0 != generation[i] ->
       group[i] = n0; generation[i] = g0; changedAge[i] = 0
  :: else
  fi;
  i = 0; b = 0; n0 = 0; g0 = 0
}

/* A server that starts again is in no group. */
#define RESTART(h) \
  :: atomic { group[h] != NONE -> \
       group[h] = NONE; generation[h] = 0; changedAge[h] = 0 }

#define REPORT(h) \
  :: atomic { \
       reportGroup[h] != group[h] || reportGeneration[h] != generation[h] || \
       reportAge[h] > 0 -> \
       reportGroup[h] = group[h]; reportGeneration[h] = generation[h]; \
       reportAge[h] = 0 }

/* The router's rule: each member itself reports this group and generation, freshly. */
#ifdef SERVE_BY_ORDERS
#define REPORTS(h, g) 1
#elif defined(IGNORE_GENERATION)
#define REPORTS(h, g) (reportGroup[h] == g && reportAge[h] < 2)
#elif defined(KEEP_REPORTS)
#define REPORTS(h, g) \
  (reportGroup[h] == g && reportGeneration[h] == GENERATION(g, routerCopy))
#else
#define REPORTS(h, g) \
  (reportGroup[h] == g && reportGeneration[h] == GENERATION(g, routerCopy) && \
   reportAge[h] < 2)
#endif
#define MEMBER(h, g) HAS(MEMBERS(g, routerCopy), h)
#define COMPLETE(g) \
  (MEMBERS(g, routerCopy) != 0 && (!MEMBER(0, g) || REPORTS(0, g)) && \
   (!MEMBER(1, g) || REPORTS(1, g)))
#define IS_IN(h, g) \
  ((group[h] == g && generation[h] == GENERATION(g, routerCopy)) || \
   changedAge[h] < 2)
#define SERVE(g, h) \
  :: atomic { MEMBER(h, g) && !IS_IN(h, g) && COMPLETE(g) -> assert(false) }

#define OLDER(age) (age < 2 -> age + 1 : 2)

active proctype World() {
  byte i, b, m, n0, n1, g0, g1;
  do
#ifdef PART_PLAN
  SEE_LEASE(0) SEE_LEASE(1)
  TAKE_LEASE(0) TAKE_LEASE(1)
  RENEW(0) RENEW(1)
  ANSWER_RENEWAL(0) ANSWER_RENEWAL(1)
  READ_ROW(0) READ_ROW(1)
  SEND_WRITE(0) SEND_WRITE(1)
  ARRIVE_WRITE(0) ARRIVE_WRITE(1)
#else
  :: atomic { rowVersion < WRITES -> writeBase[0] = rowVersion; Write(0) }
  ORDER(0) ORDER(1)
  RESTART(0) RESTART(1)
  REPORT(0) REPORT(1)
  SERVE(0, 0) SERVE(0, 1)
  SERVE(1, 0) SERVE(1, 1)
  :: atomic { routerCopy < rowVersion -> routerCopy++ }
#endif

  /* A tick of time. */
  :: atomic {
       m = 0;
       do
       :: m < 2 ->
            left[m] = (left[m] > 0 -> left[m] - 1 : 0);
            wait[m] = (wait[m] > 0 -> wait[m] - 1 : 0);
            answerDue[m] =
              (answerDue[m] > 0 && answerDue[m] <= LEASE -> answerDue[m] + 1
                                                          : answerDue[m]);
            m++
       :: else -> break
       od;
       m = 0;
       do
       :: m < HOSTS ->
            changedAge[m] = OLDER(changedAge[m]);
            reportAge[m] = OLDER(reportAge[m]);
            m++
       :: else -> break
       od;
       m = 0
     }
  od
}
