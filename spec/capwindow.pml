/*
 * A cap's window that changes while a permit is lent: one permit, a lender and a
 * borrower, which learn the new window at different times. Messages may come late
 * or never, and each holder may stand still as long as it likes.
 *
 * Invariant: two requests are at least a window apart. While the holders may go
 * by different windows, and for the longer window after that, the shorter window
 * counts; then the new one does.
 *
 * All timers count ticks up to a bound. All clocks run alike, so margins are left
 * out. Models: steering/caps Holder (Take, Lend, RequestLoan, ApplyLoan,
 * Configure) and its queue of lent permits.
 *
 * @break BREAK_NEWEST_TERMS     a lent permit waits for the terms that the lender has now
 * @break BREAK_LEND_ACROSS      the lender lends to a borrower that goes by another window
 * @config shorter -DWOLD=4 -DTOLD=6 -DWNEW=2 -DTNEW=3
 * @config longer  -DWOLD=2 -DTOLD=3 -DWNEW=4 -DTNEW=6
 * @config much    -DWOLD=6 -DTOLD=8 -DWNEW=1 -DTNEW=2
 * @breakon BREAK_NEWEST_TERMS   shorter
 * @breakon BREAK_LEND_ACROSS    shorter
 * @pan -m1000000
 */

#ifndef WOLD
#define WOLD 4          /* window and term before the change */
#define TOLD 6
#define WNEW 2          /* and after it */
#define TNEW 3
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define WINDOW(new) ((new) -> WNEW : WOLD)
#define TERM(new)   ((new) -> TNEW : TOLD)
#define LOANWAIT(new) (TERM(new) + WINDOW(new))
#define LONG  MAX(WOLD, WNEW)
#define BOUND (MAX(TOLD, TNEW) + LONG + 1)

bool lenderNew, borrowerNew;    /* who knows the new window */
byte bothNew;                   /* ticks since both do */

bool lent;                      /* the permit is lent */
byte lentFor, lentWait;         /* ticks since then; wait by the terms of that time */
byte sinceLenderUse = BOUND;    /* ticks since the lender's last request */

bool asked, answered, askedNew; /* a request for the loan, its answer, and the rule of both */
byte askedFor;                  /* ticks since the request was sent */
bool borrowed;
byte loanLeft;                  /* ticks until the borrower must not use the permit */
byte sinceBorrowerUse = BOUND;

byte sinceUse = BOUND;          /* ticks since the last request of either */

#define UP(x) x = (x < BOUND -> x + 1 : x)
#define SHORTEST ((lenderNew && borrowerNew && bothNew >= LONG) -> WNEW : ((lenderNew || borrowerNew) -> MIN(WOLD, WNEW) : WOLD))

inline use() {
	assert(sinceUse >= SHORTEST);
	sinceUse = 0
}

#ifdef BREAK_NEWEST_TERMS
#define BACK (lentFor >= LOANWAIT(lenderNew))
#else
#define BACK (lentFor >= MAX(lentWait, LOANWAIT(lenderNew)))
#endif

#ifdef BREAK_LEND_ACROSS
#define MAYLEND true
#else
#define MAYLEND (askedNew == lenderNew)
#endif

active proctype holders() {
end:	do
	:: atomic { /* a tick */
		UP(lentFor); UP(askedFor); UP(sinceLenderUse); UP(sinceBorrowerUse); UP(sinceUse);
		if :: lenderNew && borrowerNew -> UP(bothNew) :: else fi;
		if :: loanLeft > 0 -> loanLeft-- :: else fi;
		if :: loanLeft == 0 -> borrowed = false :: else fi
	   }
	:: atomic { !lenderNew -> lenderNew = true }
	:: atomic { !borrowerNew -> borrowerNew = true; borrowed = false; loanLeft = 0 }
	:: atomic { lent && BACK -> lent = false; lentFor = 0; lentWait = 0 }
	:: atomic { !lent && sinceLenderUse >= WINDOW(lenderNew) -> use(); sinceLenderUse = 0 }
	:: atomic { !asked && !answered && !borrowed -> asked = true; askedNew = borrowerNew; askedFor = 0 }
	:: atomic { asked -> asked = false }
	:: atomic { asked && !lent && MAYLEND && sinceLenderUse >= WINDOW(lenderNew) ->
		asked = false; answered = true; lent = true; lentFor = 0; lentWait = LOANWAIT(lenderNew) }
	:: atomic { answered -> answered = false;
		if
		:: askedNew == borrowerNew && askedFor < TERM(borrowerNew) ->
			borrowed = true; loanLeft = TERM(borrowerNew) - askedFor; sinceBorrowerUse = BOUND
		:: else
		fi }
	:: atomic { borrowed && sinceBorrowerUse >= WINDOW(borrowerNew) -> use(); sinceBorrowerUse = 0 }
	od
}
