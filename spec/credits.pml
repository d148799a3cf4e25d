/*
 * Credits of a workspace's allowance: an owner lends them, VMs use, report and give
 * them back, under lost, late, doubled and reordered messages and restarts of VMs.
 *
 * Invariant: no more requests run than there were credits. Nothing accrues here, and
 * no VM runs a request before it has a credit.
 *
 * Nothing obliges anybody to act, so lost messages, pauses and cuts are runs in which
 * a step is not taken. The last two messages of each kind stay deliverable, any number
 * of times and in any order.
 *
 * Models: steering/allowance Account (Admit, Report, ApplyReply) and Ledger (Report).
 *
 * @break BREAK_ANY_REPLY        a VM takes the answer to an earlier report
 * @break BREAK_REPLY_TWICE      a VM takes an answer twice
 * @break BREAK_OLD_REPORT       the owner takes a report that is older than the last
 * @break BREAK_RESTART_RETURNS  the owner takes back what a VM held that has started again
 * @break BREAK_TIMER_RETURNS    the owner takes back what a VM holds that is silent
 * @config small  -DC=1 -DREPORTS=3
 * @config larger -DC=2 -DREPORTS=2
 * @breakon BREAK_ANY_REPLY       small
 * @breakon BREAK_REPLY_TWICE     small
 * @breakon BREAK_OLD_REPORT      small
 * @breakon BREAK_RESTART_RETURNS small
 * @breakon BREAK_TIMER_RETURNS   small
 * @cc -DCOLLAPSE
 * @pan -m1000000
 */

#define VMS 2
#ifndef C
#define C 1         /* credits */
#endif
#ifndef REPORTS
#define REPORTS 3   /* reports of each process of a VM */
#endif
#define LIVES 2     /* processes of each VM */

byte ran;           /* requests, over all VMs */

/* The owner. Counts of use are those of the process of a VM that it heard last. */
short tokens = C;
byte lent[VMS], seenLife[VMS], seenNumber[VMS];
short seenUsed[VMS];

/* VMs. */
byte held[VMS], life[VMS], number[VMS];
short used[VMS], known[VMS];
bool asking[VMS];

/* The last two messages of each kind; number 0 is none. */
typedef Report { byte life; byte number; short used; short known; byte held };
typedef Reply { byte life; byte number; short used; byte credits };
typedef Box { Report reports[2]; Reply replies[2] };
Box box[VMS];



inline runOne(v) {
	held[v]--; used[v]++; ran++;
	assert(ran <= C)
}

inline report(v) {
	number[v]++;
	asking[v] = true;
	box[v].reports[1].life = box[v].reports[0].life;
	box[v].reports[1].number = box[v].reports[0].number;
	box[v].reports[1].used = box[v].reports[0].used;
	box[v].reports[1].known = box[v].reports[0].known;
	box[v].reports[1].held = box[v].reports[0].held;
	if
	:: true                     /* keeps what it holds */
	:: held[v] > 0 -> held[v] = 0   /* gives it back */
	fi;
	box[v].reports[0].life = life[v];
	box[v].reports[0].number = number[v];
	box[v].reports[0].used = used[v];
	box[v].reports[0].known = known[v];
	box[v].reports[0].held = held[v]
}

/* The owner answers one of the reports with some of its tokens. */
inline answer(v, n) {
	if
	:: box[v].reports[n].life != seenLife[v] ->
#ifdef BREAK_RESTART_RETURNS
		tokens = tokens + lent[v];
#endif
		seenLife[v] = box[v].reports[n].life;
		seenNumber[v] = 0;
		seenUsed[v] = box[v].reports[n].known;
		lent[v] = 0
	:: else
	fi;
	if
#ifdef BREAK_OLD_REPORT
	:: true ->
#else
	:: box[v].reports[n].number > seenNumber[v] ->
#endif
		tokens = tokens + lent[v] - box[v].reports[n].held - (box[v].reports[n].used - seenUsed[v]);
		seenNumber[v] = box[v].reports[n].number;
		seenUsed[v] = box[v].reports[n].used;
		lent[v] = box[v].reports[n].held;
		box[v].replies[1].life = box[v].replies[0].life;
		box[v].replies[1].number = box[v].replies[0].number;
		box[v].replies[1].used = box[v].replies[0].used;
		box[v].replies[1].credits = box[v].replies[0].credits;
		box[v].replies[0].life = seenLife[v];
		box[v].replies[0].number = seenNumber[v];
		box[v].replies[0].used = seenUsed[v];
		box[v].replies[0].credits = 0;
		if
		:: true
		:: tokens > 0 ->
			tokens--;
			lent[v]++;
			box[v].replies[0].credits = 1
		fi
	:: else
	fi
}

inline take(v, n) {
	if
#if defined(BREAK_ANY_REPLY)
	:: asking[v] ->
#elif defined(BREAK_REPLY_TWICE)
	:: box[v].replies[n].number == number[v] ->
#else
	:: asking[v] && box[v].replies[n].number == number[v] ->
#endif
		asking[v] = false;
		known[v] = box[v].replies[n].used;
		held[v] = held[v] + box[v].replies[n].credits
	:: else
	fi
}

inline restart(v) {
	life[v]++;
	held[v] = 0; number[v] = 0; used[v] = 0; known[v] = 0; asking[v] = false
}

proctype vm(byte v) {
	do
	:: atomic { held[v] > 0 -> runOne(v) }
	:: atomic { number[v] < REPORTS -> report(v) }
	:: atomic { box[v].replies[0].number > 0 && box[v].replies[0].life == life[v] -> take(v, 0) }
	:: atomic { box[v].replies[1].number > 0 && box[v].replies[1].life == life[v] -> take(v, 1) }
	:: atomic { life[v] < LIVES - 1 -> restart(v) }
	od
}

proctype owner() {
	byte v;
	do
	:: atomic { select(v : 0 .. VMS - 1); box[v].reports[0].number > 0 && box[v].reports[0].life >= seenLife[v] -> answer(v, 0) }
	:: atomic { select(v : 0 .. VMS - 1); box[v].reports[1].number > 0 && box[v].reports[1].life >= seenLife[v] -> answer(v, 1) }
#ifdef BREAK_TIMER_RETURNS
	:: atomic { select(v : 0 .. VMS - 1); lent[v] > 0 -> tokens = tokens + lent[v]; lent[v] = 0 }
#endif
	od
}

init {
	atomic {
		run owner();
		byte i;
		for (i : 0 .. VMS - 1) { run vm(i) }
	}
}
