/*
 * At most once: request keys bound to an incarnation.
 *
 * Entry VM 0 issued the key in its first incarnation, HOME. The caller sends it
 * three times, at once or one after the other, through entry VM 0 or 1. Targets
 * run a request at any time after it was sent to them, also long after the entry
 * VM gave up. Replies get lost, targets refuse without running, the outcome is
 * evicted, entry VM 0 is replaced at any moment, and the two entry VMs are cut
 * off from each other and healed at any moment. Other keys touch this one only
 * by sealing its epoch, which may happen at any moment too.
 *
 * Invariants: the key is not executed twice; a send that is told "not run" was
 * not run and never will be; the stored answer is told only when the key ran.
 *
 * @break BREAK_RUN_FOREIGN         an entry VM runs a key that another incarnation issued
 * @break BREAK_RUN_ON_CUT          an entry VM that cannot reach home runs the key
 * @break BREAK_RUN_EVICTED         an absent key runs although its epoch is sealed
 * @break BREAK_EVICT_UNSEALED      an outcome is evicted without sealing its epoch
 * @break BREAK_RETRY_AFTER_SEND    a try that may have run is followed by another
 * @break BREAK_TIMEOUT_NOT_RUN     a lost reply is taken for a proof of not run
 * @break BREAK_NO_JOIN             a repeat of a running key runs it as well
 * @break BREAK_KEEP_INCARNATION    a replaced entry VM keeps the incarnation it had
 * @cc -DCOLLAPSE
 * @pan -m200000
 */

#define SENDS 3
#define HOME  0        /* the incarnation that issued the key */

mtype = { absent, running, done, unknown };
mtype = { tell_none, tell_not_run, tell_done, tell_unknown };

byte incarnation0 = HOME;      /* of entry VM 0; entry VM 1 never is HOME */
mtype table = absent;          /* what incarnation HOME knows of the key */
bool sealed = false;           /* the key's epoch is sealed */

byte ran = 0;                  /* executions by targets */
bool delivered[SENDS];         /* a target has, or will have, run this send */
byte inFlight = 0;             /* sent to targets, not yet run there */

#define HOME_ALIVE (incarnation0 == HOME)

/* A target that was sent the request runs it at some time. */
proctype Target()
{
	atomic {
		ran++;
		inFlight--;
		assert(ran <= 1)
	}
}

/* One try at a target: result is done, absent (proved not run) or unknown. */
inline try(s, result)
{
	atomic {
		if
		:: result = absent                      /* no byte was sent, or the typed refusal */
		:: delivered[s] = true;
		   inFlight++;
		   run Target();
		   if
		   :: result = done                     /* the whole answer came back */
		   :: result = unknown                  /* the reply was lost */
		   fi
		fi;
#ifdef BREAK_TIMEOUT_NOT_RUN
		if
		:: result == unknown -> result = absent
		:: else
		fi
#endif
	}
}

/* At most two tries; the second only after a proof of not run. */
inline execute(s, result)
{
	try(s, result);
	if
	:: result == absent -> try(s, result)
#ifdef BREAK_RETRY_AFTER_SEND
	:: result == unknown -> try(s, result)
#endif
	:: else
	fi
}

/* The run's end, when the incarnation still lives. */
inline finish(told, result)
{
	atomic {
		if
		:: !HOME_ALIVE -> told = tell_unknown
		:: HOME_ALIVE && result == absent -> table = absent; told = tell_not_run
		:: HOME_ALIVE && result == done -> table = done; told = tell_done
		:: HOME_ALIVE && result == unknown -> table = unknown; told = tell_unknown
		fi
	}
}

/* A repeat waits for the running one and is told the same. */
inline join(told)
{
	atomic {
		if
		:: !HOME_ALIVE -> told = tell_unknown
		:: HOME_ALIVE && table == done -> told = tell_done
		:: HOME_ALIVE && table == unknown -> told = tell_unknown
		:: HOME_ALIVE && table == absent && sealed -> told = tell_unknown
		:: HOME_ALIVE && table == absent && !sealed -> told = tell_not_run
		fi
	}
}

/* The table's decision and, for the one that may run, the run. */
inline atHome(s, told, result, mine)
{
	atomic {
		if
		:: !HOME_ALIVE -> told = tell_unknown
		:: HOME_ALIVE && table == done -> told = tell_done
		:: HOME_ALIVE && table == unknown -> told = tell_unknown
		:: HOME_ALIVE && table == running ->
#ifdef BREAK_NO_JOIN
		   mine = true
#else
		   skip
#endif
#ifdef BREAK_RUN_EVICTED
		:: HOME_ALIVE && table == absent ->
		   table = running;
		   mine = true
#else
		:: HOME_ALIVE && table == absent && sealed -> told = tell_unknown
		:: HOME_ALIVE && table == absent && !sealed ->
		   table = running;
		   mine = true
#endif
		fi
	};
	if
	:: told == tell_none && mine ->
	   execute(s, result);
	   finish(told, result)
	:: told == tell_none && !mine ->
	   join(told)
	:: told != tell_none
	fi
}

/* An entry VM that did not issue the key passes the request home. */
inline away(s, told, result, mine)
{
#ifdef BREAK_RUN_FOREIGN
	execute(s, result);
	told = tell_unknown
#else
	if
	:: !HOME_ALIVE -> told = tell_unknown       /* home is gone */
	:: HOME_ALIVE ->                            /* cut off from home */
#ifdef BREAK_RUN_ON_CUT
	   execute(s, result);
#endif
	   told = tell_unknown
	:: HOME_ALIVE ->
	   atHome(s, told, result, mine);
	   if
	   :: skip
	   :: told = tell_unknown                   /* the reply between them is lost */
	   fi
	fi
#endif
}

proctype Send(byte s)
{
	mtype told = tell_none;
	mtype result = absent;
	bool mine = false;

	if
	:: HOME_ALIVE -> atHome(s, told, result, mine)         /* through entry VM 0 */
	:: away(s, told, result, mine)                         /* through entry VM 1, or 0 once replaced */
	fi;
	d_step {
		assert(told != tell_none);
		assert(!(told == tell_not_run && delivered[s]));
		assert(!(told == tell_done && ran + inFlight == 0))
	}
}

/* Memory is short, or time passes. */
proctype Evict()
{
	atomic {
		if
		:: HOME_ALIVE && (table == done || table == unknown) ->
		   table = absent;
#ifndef BREAK_EVICT_UNSEALED
		   sealed = true
#endif
		:: HOME_ALIVE -> sealed = true           /* by age alone */
		:: !HOME_ALIVE
		fi
	}
}

/* Entry VM 0 is replaced: what it kept is gone. */
proctype Replace()
{
	atomic {
		table = absent;
		sealed = false;
#ifndef BREAK_KEEP_INCARNATION
		incarnation0 = HOME + 1
#endif
	}
}

init
{
	atomic {
		run Send(0);
		run Send(1);
		run Send(2);
		run Evict();
		run Evict();
		run Replace()
	}
}
