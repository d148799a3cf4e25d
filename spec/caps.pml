/*
 * Cap permits: seats that change hands through the platform, and short loans
 * between holders, under pauses, lost, doubled and late messages, lost replies
 * to platform writes, writes that take effect late, platform outages, and the
 * death and replacement of a VM.
 *
 * Invariant: in any W consecutive ticks at most N requests are admitted.
 *
 * Nothing obliges anybody to act. So a pause, a lost message, a lost reply and
 * an outage of the platform are runs in which a step is not taken, and need no
 * variables. A message stays deliverable until the next of its kind replaces
 * it: it may come late, doubled or never. All timers count down per tick. All
 * clocks run alike, so the margin for their rates is left out; the state machine
 * in steering/caps tests it, as well as changes of the cap.
 *
 * Models: steering/caps Holder (Take, Lend, RequestLoan, ApplyLoan, ApplySeats,
 * Shrink) and Plan (raiseSeats, clear, claimOwnSeat, lowerOwnSeat).
 *
 * @break BREAK_TAKEBACK_EARLY              the lender counts a loan as back after the term, without a window
 * @break BREAK_LEND_BUSY                   the lender lends a permit that it used less than a window ago
 * @break BREAK_BORROWER_CLOCK_FROM_REPLY   the borrower counts the term from the reply, not from its request
 * @break BREAK_REPLY_TWICE                 the borrower takes a doubled reply twice
 * @break BREAK_SEAT_BY_TIMER               a seat is taken from a VM that is only silent
 * @break BREAK_NEW_HOLDER_AT_ONCE          the new holder of a seat uses it without waiting
 * @break BREAK_WAIT_WINDOW_ONLY            the new holder waits a window, but not for the old holder's loans
 * @break BREAK_GIVE_AFTER_WRITE            a holder that gives a permit away uses it until it hears of the write
 * @break BREAK_INCARNATION_WITHOUT_WRITE   a new process uses its predecessor's seat without writing itself into it
 * @break BREAK_STALE_SEAT                  a holder acts on an older record of the seats after a newer one
 * @config seats -DLOANS=0 -DWRITES=4
 * @config loans -DLOANS=2 -DWRITES=0
 * @config both  -DLOANS=1 -DWRITES=2
 * @config seats2 -DN=2 -DLOANS=0 -DWRITES=4
 * @config loans2 -DN=2 -DLOANS=3 -DWRITES=0
 * @config both2 -DN=2 -DLOANS=1 -DWRITES=3
 * @breakon BREAK_TAKEBACK_EARLY            loans
 * @breakon BREAK_LEND_BUSY                 loans
 * @breakon BREAK_BORROWER_CLOCK_FROM_REPLY loans
 * @breakon BREAK_REPLY_TWICE               loans
 * @breakon BREAK_SEAT_BY_TIMER             seats
 * @breakon BREAK_NEW_HOLDER_AT_ONCE        seats
 * @breakon BREAK_WAIT_WINDOW_ONLY          both
 * @breakon BREAK_GIVE_AFTER_WRITE          seats
 * @breakon BREAK_INCARNATION_WITHOUT_WRITE seats
 * @breakon BREAK_STALE_SEAT                seats
 * @cc -DCOLLAPSE
 * @pan -m100000
 */

#define VMS   3         /* 0 holds the seat at first, and may die */
#ifndef N
#define N     1         /* permits */
#endif
#define SLOTS (N + 1)   /* places for permits, own or borrowed, at each VM */
#define W     2         /* window, in ticks */
#define T     2         /* term of a loan */
#ifndef LOANS
#define LOANS  1        /* loan requests that VM 1 sends at most */
#endif
#ifndef WRITES
#define WRITES 2        /* changes of the seats record at most */
#endif

#define NONE     0
#define OWN      1
#define LENT     2
#define BORROWED 3

#ifdef BREAK_TAKEBACK_EARLY
#define LENT_FOR T
#else
#define LENT_FOR (T + W)
#endif

#if defined(BREAK_NEW_HOLDER_AT_ONCE)
#define SEAT_WAIT 0
#elif defined(BREAK_WAIT_WINDOW_ONLY)
#define SEAT_WAIT W
#else
#define SEAT_WAIT (T + W)
#endif

typedef permit {
	byte state;
	byte busy;         /* ticks until usable (OWN, BORROWED) or back (LENT) */
	byte valid;        /* BORROWED: ticks left of the term */
}

typedef vm {
	permit p[SLOTS];
	byte seen;         /* version of the seats last acted on */
	bit  giving;       /* a write that gives one permit away may take effect */
	byte giveVersion;  /* its condition */
	byte giveTo;
	byte lentTo;       /* nonce of the request last lent to */
}

vm   v[VMS];
bit  dead;             /* VM 0 */

byte version;          /* the platform's record of the seats */
byte seat[VMS];
byte before[VMS];      /* the record before the last write */

/* the one borrower, VM 1 */
byte nonce;            /* of its last request */
byte asked;            /* lender it was sent to */
byte left;             /* of the term, on the borrower's clock */
bit  waiting;
byte answered;         /* nonce of the answer on its way */

byte recent;           /* admissions in the tick before this one */
byte current;          /* admissions in this tick */

byte i, j, own;        /* scratch, always 0 between steps */

#define alive(x) (x != 0 || !dead)
#define usable(x, q) (alive(x) && v[x].p[q].busy == 0 && (v[x].p[q].state == OWN || v[x].p[q].state == BORROWED))

inline admit(x, q) {
	v[x].p[q].busy = W;
	current++;
	assert(recent + current <= N)
}

/* drop empties a slot. */
inline drop(x, q) {
	v[x].p[q].state = NONE; v[x].p[q].busy = 0; v[x].p[q].valid = 0
}

/* adopt makes VM x act on a record of the seats that gives it so many permits. */
inline adopt(x, permits) {
	own = 0; i = 0;
	do
	:: i < SLOTS ->
		if
		:: v[x].p[i].state == OWN || v[x].p[i].state == LENT -> own++
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < SLOTS && own < permits ->
		if
		:: v[x].p[i].state == NONE -> v[x].p[i].state = OWN; v[x].p[i].busy = SEAT_WAIT; own++
		:: else
		fi;
		i++
	:: i < SLOTS && own > permits ->
		if
		:: v[x].p[i].state == OWN -> drop(x, i); own--
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0; own = 0
}

/* written keeps the record that a write replaces. */
inline written() {
	before[0] = seat[0]; before[1] = seat[1]; before[2] = seat[2];
	version++
}

proctype ticks() {
	do
	:: d_step {
		i = 0;
		do
		:: i < VMS ->
			j = 0;
			do
			:: j < SLOTS ->
				if
				:: v[i].p[j].busy > 0 ->
					v[i].p[j].busy--;
					if
					:: v[i].p[j].state == LENT && v[i].p[j].busy == 0 -> v[i].p[j].state = OWN
					:: else
					fi
				:: else
				fi;
				if
				:: v[i].p[j].valid > 0 ->
					v[i].p[j].valid--;
					if
					:: v[i].p[j].valid == 0 -> drop(i, j)
					:: else
					fi
				:: else
				fi;
				j++
			:: else -> break
			od;
			i++
		:: else -> break
		od;
		if
		:: left > 0 -> left--
		:: else
		fi;
		recent = current; current = 0;
		i = 0; j = 0
	   }
	od
}

/* give stops using one own permit and sends the write that passes it on. */
inline give(x, to) {
	i = 0;
	do
	:: i < SLOTS && v[x].p[i].state != OWN -> i++
	:: else -> break
	od;
	if
	:: i < SLOTS ->
#ifndef BREAK_GIVE_AFTER_WRITE
		drop(x, i);
#endif
		v[x].giving = 1; v[x].giveVersion = v[x].seen; v[x].giveTo = to
	:: else
	fi;
	i = 0
}

/* take clears the seat of VM k in favour of VM x. */
inline take(x, k) {
	written();
	seat[x] = seat[x] + seat[k];
	seat[k] = 0
}

#ifdef BREAK_SEAT_BY_TIMER
#define gone(k) (k == 0)
#else
#define gone(k) (k == 0 && dead)
#endif

proctype node(byte me) {
	do
	/* admit: the clock is read in the act */
	:: d_step { usable(me, 0) -> admit(me, 0) }
	:: d_step { usable(me, 1) -> admit(me, 1) }
#if N > 1
	:: d_step { usable(me, 2) -> admit(me, 2) }
#endif

	/* learn the newest record; any write conditional on an older one has failed */
	:: d_step { alive(me) && v[me].seen < version ->
		v[me].seen = version;
		v[me].giving = 0; v[me].giveVersion = 0; v[me].giveTo = 0;
		adopt(me, seat[me])
	   }
#ifdef BREAK_STALE_SEAT
	/* a late copy of the record before */
	:: d_step { alive(me) && version > 0 && v[me].seen == version -> adopt(me, before[me]) }
#endif

	/* give a permit to one of the others */
	:: d_step { alive(me) && !v[me].giving && v[me].seen < WRITES && seat[me] > 0 -> give(me, (me + 1) % VMS) }
	:: d_step { alive(me) && !v[me].giving && v[me].seen < WRITES && seat[me] > 0 -> give(me, (me + 2) % VMS) }

	/* such a write takes effect, soon, late or never */
	:: d_step { v[me].giving && v[me].giveVersion == version && seat[me] > 0 ->
		written();
		seat[me]--;
		seat[v[me].giveTo]++
	   }

	/* take the seat of a VM that the platform lists as gone */
	:: d_step { alive(me) && me != 0 && version < WRITES && v[me].seen == version && gone(0) && seat[0] > 0 -> take(me, 0) }
	od
}

/* VM 0 dies, with its memory, and a new process of the same VM may start. */
proctype life() {
	do
	:: d_step { !dead ->
		dead = 1;
		drop(0, 0); drop(0, 1);
#if N > 1
		drop(0, 2);
#endif
		v[0].seen = 0; v[0].lentTo = 0
		/* a write that it sent may still take effect: giving stays */
	   }
#ifdef BREAK_INCARNATION_WITHOUT_WRITE
	:: d_step { dead -> dead = 0; v[0].seen = version; adopt(0, seat[0]) }
#else
	/* it writes itself into the seat first: what is still on its way then fails */
	:: d_step { dead && version < WRITES ->
		written();
		dead = 0;
		v[0].giving = 0; v[0].giveVersion = 0; v[0].giveTo = 0;
		v[0].seen = version;
		adopt(0, seat[0])
	   }
#endif
	od
}

/* lend answers VM 1's last request at VM x with a permit that is free now. */
inline lend(x) {
	if
	:: v[x].lentTo == nonce -> answered = nonce     /* a repeat gets the same answer */
	:: else ->
		i = 0;
		do
#ifdef BREAK_LEND_BUSY
		:: i < SLOTS && v[x].p[i].state != OWN -> i++
#else
		:: i < SLOTS && !(v[x].p[i].state == OWN && v[x].p[i].busy == 0) -> i++
#endif
		:: else -> break
		od;
		if
		:: i < SLOTS ->
			v[x].p[i].state = LENT; v[x].p[i].busy = LENT_FOR;
			v[x].lentTo = nonce;
			answered = nonce
		:: else
		fi;
		i = 0
	fi
}

/* granted puts the permit of an answer into a slot of VM 1. */
inline granted(term) {
	waiting = 0;
	i = 0;
	do
	:: i < SLOTS && v[1].p[i].state != NONE -> i++
	:: else -> break
	od;
	if
	:: i < SLOTS -> v[1].p[i].state = BORROWED; v[1].p[i].valid = term
	:: else
	fi;
	i = 0
}

proctype loans() {
	do
	/* ask; the term runs from here on the borrower's clock */
	:: d_step { nonce < LOANS -> nonce++; asked = 0; left = T; waiting = 1 }
	:: d_step { nonce < LOANS -> nonce++; asked = 2; left = T; waiting = 1 }
	/* the request arrives, once, again, late or never */
	:: d_step { nonce > 0 && alive(asked) -> lend(asked) }
	/* so does the answer */
#if defined(BREAK_REPLY_TWICE)
	:: d_step { answered > 0 && answered == nonce && left > 0 -> granted(left) }
#elif defined(BREAK_BORROWER_CLOCK_FROM_REPLY)
	:: d_step { answered > 0 && answered == nonce && waiting -> granted(T) }
#else
	:: d_step { answered > 0 && answered == nonce && waiting && left > 0 -> granted(left) }
#endif
	od
}

init {
	atomic {
		seat[0] = N;
		v[0].p[0].state = OWN;
#if N > 1
		v[0].p[1].state = OWN;
#endif
		run ticks(); run life(); run loans();
		run node(0); run node(1); run node(2)
	}
}
