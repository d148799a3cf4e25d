/*
 * Age of what is known of the store: one VM reads, digests tell the others how old
 * that read is, under late, lost and doubled datagrams, reads that take long, and
 * several readers at once.
 *
 * Invariants: nobody takes what it knows for younger than it is by more than the
 * way of a digest for each VM that it passed (BOUND); the revision that a VM goes by
 * never falls.
 *
 * With a margin of one way less, a read that passed all VMs comes back to the first
 * as another, and grows younger from then on. So the margin of 400 ms suffices while
 * a read passes no more than four VMs at 70 ms each: the reader writes to all, and
 * each VM is told by it or by one that it wrote to.
 *
 * What rests on it: a leaving target gets nothing new after its bound, since a VM
 * reads for itself, or is told, before what it knows is older than a part of it.
 *
 * A read that was not begun, a datagram that is lost and a VM that is paused are
 * runs in which a step is not taken. A digest does not age on its way. Clocks run
 * alike. A read is counted from its beginning.
 *
 * Models: node/gateway/feed State.Merge, adoptAge, MarkRead and Reader.read.
 *
 * @break BREAK_ANY_YOUNGER   a peer's age at the same revision counts if it is any younger
 * @break BREAK_FROM_THE_END  a read counts as young when it ends, not when it began
 * @break BREAK_OLDER_BACK    a digest of an older revision is taken over
 * @break BREAK_THIN_MARGIN   the margin leaves out the last way
 * @config three -DVMS=3 -DTICKS=5
 * @config four -DVMS=4 -DTICKS=2 -DREADS=1
 * @cc -DCOLLAPSE
 * @pan -m100000
 */

#ifndef VMS
#define VMS 3
#endif
#ifndef TICKS
#define TICKS 6
#endif
#define WAY    1             /* ticks that a digest takes at most */
#define BOUND  (VMS - 1)     /* one way for each VM that it passed */
#ifdef BREAK_THIN_MARGIN
#define MARGIN (VMS - 1)
#else
#define MARGIN VMS           /* by how much younger another read has to be */
#endif
#ifndef READS
#define READS  2             /* reads begun at most */
#endif
#define CHANGES 2            /* revisions of the store at most, after the first */
#define NONE   255

byte ticks = 0;
byte revision = 1;           /* of the store */
byte reads = 0;

byte known[VMS];             /* revision that a VM goes by; 0 none */
byte age[VMS];               /* as it believes */
byte truly[VMS];             /* ticks since the read began that it goes by */
byte begun[VMS];             /* ticks since it began a read; NONE without one */
byte seen[VMS];              /* revision that the read under way saw */

/* The newest digest of each VM, deliverable for WAY ticks, to any and again. */
byte toldRevision[VMS];
byte toldAge[VMS];
byte toldTruly[VMS];
byte toldSince[VMS];         /* NONE without one */

inline check(v) {
  assert(known[v] == 0 || truly[v] <= age[v] + BOUND)
}

inline take(v, r, a, t) {
  assert(r >= known[v]);     /* never back */
  known[v] = r;
  age[v] = a;
  truly[v] = t;
  check(v)
}

inline tick() {
  d_step {
    ticks++;
    i = 0;
    do
    :: i < VMS ->
       if :: known[i] > 0 -> age[i]++; truly[i]++ :: else fi;
       if :: begun[i] != NONE -> begun[i]++ :: else fi;
       if
       :: toldSince[i] != NONE ->
          toldSince[i]++;
          toldTruly[i]++;
          if :: toldSince[i] > WAY -> toldSince[i] = NONE; toldRevision[i] = 0; toldAge[i] = 0; toldTruly[i] = 0 :: else fi
       :: else
       fi;
       i++
    :: else -> break
    od;
    i = 0
  }
}

/* heard takes VM w's digest in at VM v. */
inline heard(v, w) {
  if
#ifdef BREAK_OLDER_BACK
  :: toldRevision[w] != known[v] -> take(v, toldRevision[w], toldAge[w], toldTruly[w])
#else
  :: toldRevision[w] > known[v] -> take(v, toldRevision[w], toldAge[w], toldTruly[w])
#endif
#ifdef BREAK_ANY_YOUNGER
  :: toldRevision[w] == known[v] && toldAge[w] < age[v] -> take(v, toldRevision[w], toldAge[w], toldTruly[w])
#else
  :: toldRevision[w] == known[v] && toldAge[w] + MARGIN < age[v] -> take(v, toldRevision[w], toldAge[w], toldTruly[w])
#endif
  :: else
  fi
}

inline finish(v) {
  if
#ifdef BREAK_FROM_THE_END
  :: seen[v] >= known[v] -> take(v, seen[v], 0, begun[v])
#else
  :: seen[v] >= known[v] && (known[v] == 0 || seen[v] > known[v] || begun[v] < age[v]) -> take(v, seen[v], begun[v], begun[v])
#endif
  :: else
  fi;
  begun[v] = NONE;
  seen[v] = 0
}

active proctype world() {
  byte i = 0;
  byte v;
  byte w;
  d_step {
    do
    :: i < VMS -> begun[i] = NONE; toldSince[i] = NONE; i++
    :: else -> break
    od;
    i = 0
  }
  do
  :: atomic { ticks < TICKS -> tick() }
  :: atomic { revision <= CHANGES -> revision++ }
  :: atomic {
       select(v : 0 .. VMS - 1);
       if
       :: begun[v] == NONE && reads < READS -> reads++; begun[v] = 0; seen[v] = revision
       :: begun[v] != NONE -> finish(v)
       :: known[v] > 0 -> toldRevision[v] = known[v]; toldAge[v] = age[v]; toldTruly[v] = truly[v]; toldSince[v] = 0
       :: else
       fi;
       v = 0
     }
  :: atomic {
       select(v : 0 .. VMS - 1);
       select(w : 0 .. VMS - 1);
       if
       :: v != w && toldSince[w] != NONE -> heard(v, w)
       :: else
       fi;
       v = 0;
       w = 0
     }
  od
}
