/*
 * Configuration versions and reader leases.
 *
 * Two parts that need nothing of each other, which is the point of the design:
 * in SPREAD any node may read the platform at any time, so that no number of
 * readers can take a node back; in LEASE two candidates and a replacement
 * contend for the right to read, which only saves calls and orders status.
 *
 * A step that is not taken stands for a pause, a lost message and a cut-off
 * alike: every process may stop between any two steps for any time.
 *
 * SPREAD. Change k happens at revision k. A set at version v must hold changes
 * 1..v and no other (bit k-1 of has). Readings may be of any older revision
 * and may be taken in after any pause; offers of deltas stay under way for
 * ever, reach any node, any number of times, and were made for any base; a
 * node restarts empty. Promised: within a life the version never goes down; a
 * set is always exactly what its version says; when the faults end, a reading
 * of the newest revision and an offer to each node bring all of them there.
 *
 * LEASE. The record is written on condition of its version. A holder counts
 * its term from the sending of the write; a candidate takes over when it has
 * seen the record unchanged for a term. A write may take effect late, its reply
 * may be lost (the record is then read back), a candidate may be replaced by
 * another life under the same name. Promised: one holder at a time; epochs
 * grow with each holder; the zone's status is never overwritten under an older
 * epoch than it carries.
 *
 * @config spread -DSPREAD
 * @config lease -DLEASE
 * @config status -DLEASE -DSTATUS -DTIME=4 -DWRITES=3
 * @break BREAK_ORDER a reading is taken in without comparing versions
 * @breakon BREAK_ORDER spread
 * @break BREAK_CHECKSUM a delta is taken in without the checksum of the whole
 * @breakon BREAK_CHECKSUM spread
 * @break BREAK_LATEST a set takes the platform's newest revision as its version, not the reading's
 * @breakon BREAK_LATEST spread
 * @break BREAK_TERM the holder counts its term from the reply
 * @breakon BREAK_TERM lease
 * @break BREAK_READBACK after a lost reply the term counts from the reading back
 * @breakon BREAK_READBACK lease
 * @break BREAK_CONDITION a candidate takes over without the condition on the version
 * @breakon BREAK_CONDITION lease
 * @break BREAK_FENCE the status is written without the condition on its version
 * @breakon BREAK_FENCE status
 * @cc -DCOLLAPSE
 * @pan -m1000000
 */

#ifdef SPREAD

#ifndef REVISIONS
#define REVISIONS 3
#endif
#define NODES 2
#define OFFERS 2
#define FULL(v) ((1 << (v)) - 1)

byte revision;      /* of the platform */
byte ver[NODES];
byte has[NODES];
byte restarts;
chan offers = [OFFERS] of { byte, byte }; /* base, version */
bool healed;
byte ended;

#define WHOLE(i) assert(has[i] == FULL(ver[i]))

inline takeWhole(i, r) {
  atomic {
    if
#ifdef BREAK_ORDER
    :: true ->
#else
    :: r > ver[i] ->
#endif
       assert(r >= ver[i]);
       has[i] = FULL(r);
#ifdef BREAK_LATEST
       ver[i] = revision;
#else
       ver[i] = r;
#endif
       WHOLE(i)
    :: else -> skip
    fi
  }
}

inline takeDelta(i, base, v) {
  atomic {
    if
    :: v > ver[i] ->
       if
#ifndef BREAK_CHECKSUM
       :: (has[i] | (FULL(v) & ~FULL(base))) != FULL(v) -> skip /* refused; the whole is fetched */
       :: else ->
#else
       :: true ->
#endif
          has[i] = has[i] | (FULL(v) & ~FULL(base));
          ver[i] = v;
          WHOLE(i)
       fi
    :: else -> skip
    fi
  }
}

proctype Node(byte i) {
  byte r, base, v;
  do
  :: healed -> ended++; break
  /* Read the platform, a replica that lags included; take it in later. */
  :: !healed -> select(r : 0 .. REVISIONS);
     if
     :: r <= revision -> skip
     :: else -> r = revision
     fi;
     takeWhole(i, r);
     r = 0
  /* Offer what is here, made for any base. */
  :: !healed && nfull(offers) && ver[i] > 0 ->
     atomic {
       select(base : 0 .. REVISIONS - 1);
       if
       :: base < ver[i] && nfull(offers) -> offers ! base, ver[i]
       :: else -> skip
       fi;
       base = 0
     }
  /* Take in an offer, which stays under way, or is lost. */
  :: atomic { !healed && nempty(offers) -> offers ? <base, v> }; takeDelta(i, base, v); base = 0; v = 0
  :: atomic { !healed && nempty(offers) -> offers ? base, v }; takeDelta(i, base, v); base = 0; v = 0
  :: atomic { !healed && restarts < 2 -> restarts++; ver[i] = 0; has[i] = 0 }
  od
}

proctype Operators() {
  do
  :: atomic { revision < REVISIONS -> revision++ }
  :: revision == REVISIONS -> break
  od;
  atomic { healed = true };
  /* A reader reads the newest revision and offers each node a delta. */
  byte i;
  (ended == NODES) ->
  atomic {
    for (i : 0 .. NODES - 1) {
      byte had = ver[i];
      takeDelta(i, had, revision);
      assert(ver[i] == revision)
    }
  }
}

init {
  atomic { run Node(0); run Node(1); run Operators() }
}

#endif

#ifdef LEASE

#define TERM 2
#ifndef TIME
#define TIME 5
#endif
#ifndef WRITES
#define WRITES 4
#endif
#define STATUSES 2
#define CANDIDATES 2

byte now;
byte holder, epoch, version;          /* the record; holder 0 is none */
byte statusEpoch, statusVersion;
byte till[CANDIDATES];                /* holds while now < till */
byte mine[CANDIDATES];                /* epoch held */
byte lives = CANDIDATES;

#define HOLDS(i) (now < till[i])

inline hold(i, from, e) {
  till[i] = from + TERM;
  mine[i] = e;
  assert(!(HOLDS(0) && HOLDS(1)));
  assert(!(till[0] > 0 && till[1] > 0 && mine[0] == mine[1]))
}

proctype Clock() {
  do
  :: atomic { now < TIME -> now++ }
  :: now == TIME -> break
  od
}

/* write sends the record; it takes effect some time later or not at all. */
inline write(i, life, e) {
  sent = now;
  atomic {
    if
#ifdef BREAK_CONDITION
    :: version < WRITES ->
#else
    :: version == seen && version < WRITES ->
#endif
       version++; holder = life; epoch = e; stored = true
    :: else -> stored = false
    fi;
    wrote = version
  };
  if
  :: stored -> /* the reply arrives */
     atomic {
#ifdef BREAK_TERM
       hold(i, now, e);
#else
       hold(i, sent, e);
#endif
       seen = wrote; seenHolder = life; seenEpoch = e; seenAt = now
     }
  :: true -> /* the reply is lost, or tells of a conflict: read back */
     atomic {
       if
       :: stored && version == wrote && holder == life ->
#ifdef BREAK_READBACK
          hold(i, now, e)
#else
          hold(i, sent, e)
#endif
       :: else -> skip
       fi;
       observe()
     }
  fi;
  stored = false; wrote = 0; sent = 0
}

inline observe() {
  if
  :: known && seen == version -> skip
  :: else -> known = true; seen = version; seenHolder = holder; seenEpoch = epoch; seenAt = now
  fi
}

proctype Candidate(byte i) {
  byte life = i + 1, seen, seenHolder, seenEpoch, seenAt, sent, wrote, status;
  bool known, stored;
  do
  :: now == TIME -> break
  :: atomic { now < TIME -> observe() }
  /* Take over what is free, or unchanged for a term. */
  :: now < TIME && known && !HOLDS(i) && (seenHolder == 0 || now - seenAt >= TERM) ->
     write(i, life, seenEpoch + 1)
  /* Renew. */
  :: HOLDS(i) && seenHolder == life -> write(i, life, mine[i])
#ifdef STATUS
  /* Write the zone's status: look, then write on condition. */
  :: atomic { HOLDS(i) && statusEpoch <= mine[i] -> status = statusVersion };
     atomic {
       if
#ifdef BREAK_FENCE
       :: statusVersion < STATUSES ->
#else
       :: status == statusVersion && statusVersion < STATUSES ->
#endif
          assert(statusEpoch <= mine[i]);
          statusEpoch = mine[i]; statusVersion++
       :: else -> skip
       fi;
       status = 0
     }
#endif
  /* Another process life takes this one's place. */
  :: atomic {
       lives < CANDIDATES + 1 && now < TIME ->
       lives++; life = lives; known = false; till[i] = 0; mine[i] = 0;
       seen = 0; seenHolder = 0; seenEpoch = 0; seenAt = 0
     }
  od
}

init {
  atomic { run Clock(); run Candidate(0); run Candidate(1) }
}

#endif
