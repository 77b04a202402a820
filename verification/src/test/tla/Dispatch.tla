------------------------------ MODULE Dispatch ------------------------------
(* Requests of one idempotency key, or without a key, from arrival through durable claim and dispatch to the      *)
(* answer. Frames may stay in `net` for any time, which also covers an entry that is paused between its           *)
(* decision and the write to the socket. docs/model.md maps the actions to core.dispatch.                         *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Requests,       \* each is the request of another entry; with Claimed they share one key
    Agents,
    Claimed,        \* TRUE: non-idempotent requests of one key; FALSE: requests without a key
    MaxAttempts, MaxClaims, MaxRestarts, MaxReattaches,
    MaxLate,        \* frames that may still arrive after their link was lost
    Duplicates,     \* TRUE: a dispatch may arrive more than once
    GuardTombstone,     \* a request declared as never received is refused when it arrives late
    GuardIncarnation,   \* a new incarnation answers "unknown" and not "not run" to frames meant for an older one
    GuardRefused,       \* a dispatch answered as not run is refused when it arrives again
    GuardMemory,        \* a run whose record was dropped is not declared as never received
    GuardTakeOver,      \* a takeover compares the claim id
    GuardMove,          \* a moved claim has a new id
    GuardDoubt,         \* a claim whose creation is in doubt is refused and not dispatched
    GuardAttach         \* an entry without an answer to its attach attaches again instead of reattaching

VARIABLES flight, store, ops, replies, cleanup, net, agent, runs, answer, nextClaim, restarts
vars == <<flight, store, ops, replies, cleanup, net, agent, runs, answer, nextClaim, restarts>>

NoClaim == [id |-> 0, req |-> "none", at |-> "none", inc |-> 0, done |-> FALSE]
NewFlight == [phase |-> "queued", at |-> "none", inc |-> 0, attempt |-> 0, reattaches |-> 0, own |-> 0,
              found |-> 0, foundReq |-> "none"]
NewAgent(inc) == [inc |-> inc, run |-> "none", state |-> "none", readers |-> {}, spent |-> {}, tombs |-> {},
                  refused |-> {}]

Init ==
    /\ flight = [r \in Requests |-> NewFlight]
    /\ store = NoClaim
    /\ ops = {} /\ replies = {} /\ cleanup = {} /\ net = {}
    /\ agent = [a \in Agents |-> NewAgent(1)]
    /\ runs = [r \in Requests |-> 0]
    /\ answer = [r \in Requests |-> "none"]
    /\ nextClaim = 1 /\ restarts = 0

Frame(kind, r, about, attempt, a, inc) ==
    [kind |-> kind, req |-> r, about |-> about, attempt |-> attempt, at |-> a, inc |-> inc]
Ends(r, what) == answer' = [answer EXCEPT ![r] = what]
Phase(r, p) == [flight EXCEPT ![r].phase = p]

-----------------------------------------------------------------------------
(* Entry: from the queue to the dispatch. *)

SentDispatch(r, a, inc) ==
    /\ flight' = [flight EXCEPT ![r].phase = "dispatched", ![r].at = a, ![r].inc = inc, ![r].attempt = @ + 1]
    /\ net' = net \cup {Frame("Dispatch", r, r, flight[r].attempt + 1, a, inc)}

SendDispatch(r, a) ==
    /\ ~Claimed /\ flight[r].phase = "queued" /\ flight[r].attempt < MaxAttempts
    /\ SentDispatch(r, a, agent[a].inc)
    /\ UNCHANGED <<store, ops, replies, cleanup, agent, runs, answer, nextClaim, restarts>>

MakeClaim(r, a) ==
    /\ Claimed /\ flight[r].phase = "queued" /\ flight[r].attempt < MaxAttempts /\ nextClaim <= MaxClaims
    /\ LET id == IF flight[r].own # 0 /\ ~GuardMove THEN flight[r].own ELSE nextClaim IN
       ops' = ops \cup {[req |-> r, cond |-> flight[r].own, id |-> id, at |-> a, inc |-> agent[a].inc]}
    /\ flight' = [flight EXCEPT ![r].phase = "claiming", ![r].at = a, ![r].inc = agent[a].inc]
    /\ nextClaim' = nextClaim + 1
    /\ UNCHANGED <<store, replies, cleanup, net, agent, runs, answer, restarts>>

(* The store applies a write at any later time; its reply may then be lost. *)
StoreApplies(op) ==
    /\ op \in ops /\ ops' = ops \ {op}
    /\ LET applies == (store.id = op.cond \/ (op.cond # 0 /\ ~GuardTakeOver)) /\ ~store.done IN
       /\ store' = IF applies
                   THEN [id |-> op.id, req |-> op.req, at |-> op.at, inc |-> op.inc, done |-> FALSE]
                   ELSE store
       /\ replies' = replies \cup {[op |-> op, result |-> IF applies THEN "granted" ELSE "refused",
                                    claim |-> store]}
    /\ UNCHANGED <<flight, cleanup, net, agent, runs, answer, nextClaim, restarts>>

ReplyTo(r, reply) == reply \in replies /\ reply.op.req = r /\ flight[r].phase = "claiming"

Granted(r, reply) ==
    /\ ReplyTo(r, reply) /\ reply.result = "granted" /\ replies' = replies \ {reply}
    /\ IF agent[reply.op.at].inc = reply.op.inc
       THEN /\ flight' = [flight EXCEPT ![r].phase = "dispatched", ![r].attempt = @ + 1, ![r].own = reply.op.id]
            /\ net' = net \cup {Frame("Dispatch", r, r, flight[r].attempt + 1, reply.op.at, reply.op.inc)}
       ELSE /\ flight' = [flight EXCEPT ![r].phase = "queued", ![r].attempt = @ + 1, ![r].own = reply.op.id]
            /\ UNCHANGED net
    /\ UNCHANGED <<store, ops, cleanup, agent, runs, answer, nextClaim, restarts>>

HeldByOther(r, reply) ==
    /\ ReplyTo(r, reply) /\ reply.result = "refused" /\ ~reply.claim.done /\ reply.claim.id # 0
    /\ flight[r].attempt < MaxAttempts
    /\ replies' = replies \ {reply}
    /\ LET c == reply.claim IN
       IF agent[c.at].inc # c.inc
       THEN flight' = Phase(r, "done") /\ Ends(r, "unknown") /\ UNCHANGED net
       ELSE /\ flight' = [flight EXCEPT ![r].phase = "attaching", ![r].at = c.at, ![r].inc = c.inc, ![r].own = 0,
                                        ![r].attempt = @ + 1, ![r].found = c.id, ![r].foundReq = c.req]
            /\ net' = net \cup {Frame("Attach", r, c.req, flight[r].attempt + 1, c.at, c.inc)}
            /\ UNCHANGED answer
    /\ UNCHANGED <<store, ops, cleanup, agent, runs, nextClaim, restarts>>

OutcomeStored(r, reply) ==
    /\ ReplyTo(r, reply) /\ reply.result = "refused" /\ reply.claim.done /\ replies' = replies \ {reply}
    /\ flight' = Phase(r, "done") /\ Ends(r, "answered")
    /\ UNCHANGED <<store, ops, cleanup, net, agent, runs, nextClaim, restarts>>

(* Timeout of a call to the store: the write may have taken effect or may still do so. *)
Unavailable(r) ==
    /\ flight[r].phase = "claiming"
    /\ LET ids == {op.id : op \in {o \in ops : o.req = r}}
                  \cup {rep.op.id : rep \in {p \in replies : p.op.req = r}} IN
       IF GuardDoubt
       THEN /\ flight' = Phase(r, "done") /\ Ends(r, "not_run")
            /\ cleanup' = cleanup \cup ids \cup ({flight[r].own} \ {0})
            /\ UNCHANGED net
       ELSE SentDispatch(r, flight[r].at, flight[r].inc) /\ UNCHANGED <<cleanup, answer>>
    /\ replies' = {rep \in replies : rep.op.req # r}
    /\ UNCHANGED <<store, ops, agent, runs, nextClaim, restarts>>

ReleaseClaim ==
    /\ store.id \in cleanup /\ ~store.done /\ store' = NoClaim
    /\ UNCHANGED <<flight, ops, replies, cleanup, net, agent, runs, answer, nextClaim, restarts>>

-----------------------------------------------------------------------------
(* Agent. *)

Reply(kind, m) == Frame(kind, m.req, m.about, m.attempt, m.at, m.inc)
Arrives(m, kinds) == m \in net /\ m.kind \in kinds
Replaced(m, reply) == net' = (net \ {m}) \cup {reply}
Answered(m, reply) == Replaced(m, reply) \/ (Duplicates /\ net' = net \cup {reply})
Joins(r, a) == Claimed /\ agent[a].run # "none"

Refused(m) ==
    \/ m.req \in agent[m.at].tombs /\ GuardTombstone
    \/ <<m.req, m.attempt>> \in agent[m.at].refused /\ GuardRefused

DispatchArrived(m) ==
    /\ Arrives(m, {"Dispatch"})
    /\ LET g == agent[m.at] r == m.req IN
       \/ /\ g.inc # m.inc
          /\ Answered(m, Reply(IF GuardIncarnation THEN "Failed" ELSE "NotRun", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ Refused(m)
          /\ Answered(m, Reply("NotRun", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ ~Refused(m) /\ (Joins(r, m.at) \/ r \in g.readers)
          /\ Answered(m, Reply("Accepted", m)) /\ agent' = [agent EXCEPT ![m.at].readers = @ \cup {r}]
       \/ /\ g.inc = m.inc /\ ~Refused(m) /\ ~Joins(r, m.at) /\ r \notin g.readers /\ r \in g.spent /\ GuardMemory
          /\ Answered(m, Reply("Failed", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ ~Refused(m) /\ g.run = "none" /\ (r \notin g.spent \/ ~GuardMemory)
          /\ \/ agent' = [agent EXCEPT ![m.at].run = r, ![m.at].state = "queued", ![m.at].readers = {r}]
                /\ Answered(m, Reply("Accepted", m))
             \/ /\ agent' = [agent EXCEPT ![m.at].refused = @ \cup {<<r, m.attempt>>}]
                /\ Answered(m, Reply("NotRun", m))
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, runs, answer, nextClaim, restarts>>

(* Attach: a dispatch that joins the run of the claiming request and never starts one. *)
AttachArrived(m) ==
    /\ Arrives(m, {"Attach"})
    /\ LET g == agent[m.at] IN
       \/ g.inc # m.inc /\ Replaced(m, Reply("Failed", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ g.run # "none"
          /\ Replaced(m, Reply("Accepted", m)) /\ agent' = [agent EXCEPT ![m.at].readers = @ \cup {m.req}]
       \/ /\ g.inc = m.inc /\ g.run = "none" /\ m.about \in g.spent /\ GuardMemory
          /\ Replaced(m, Reply("Failed", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ g.run = "none" /\ (m.about \notin g.spent \/ ~GuardMemory)
          /\ Replaced(m, Reply("Unseen", m)) /\ agent' = [agent EXCEPT ![m.at].tombs = @ \cup {m.about}]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, runs, answer, nextClaim, restarts>>

ReattachArrived(m) ==
    /\ Arrives(m, {"Reattach"})
    /\ LET g == agent[m.at] r == m.req IN
       \/ g.inc # m.inc /\ Replaced(m, Reply("Failed", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ (r \in g.readers \/ (g.run = r /\ GuardMemory))
          /\ Replaced(m, Reply("Accepted", m)) /\ agent' = [agent EXCEPT ![m.at].readers = @ \cup {r}]
       \/ /\ g.inc = m.inc /\ r \notin g.readers /\ r \in g.spent /\ GuardMemory
          /\ Replaced(m, Reply("Failed", m)) /\ UNCHANGED agent
       \/ /\ g.inc = m.inc /\ r \notin g.readers /\ ((g.run # r /\ r \notin g.spent) \/ ~GuardMemory)
          /\ Replaced(m, Reply("Unseen", m)) /\ agent' = [agent EXCEPT ![m.at].tombs = @ \cup {r}]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, runs, answer, nextClaim, restarts>>

SubmitToUpstream(a) ==
    /\ agent[a].state = "queued"
    /\ runs' = [runs EXCEPT ![agent[a].run] = @ + 1]
    /\ agent' = [agent EXCEPT ![a].state = "running", ![a].spent = @ \cup {agent[a].run}]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, net, answer, nextClaim, restarts>>

(* A queued run is displaced, expires, or loses its upstream: its readers receive that it did not run. *)
DropUnrun(a) ==
    /\ agent[a].state = "queued"
    /\ net' = net \cup {Frame("NotRun", r, r, flight[r].attempt, a, agent[a].inc) : r \in agent[a].readers}
    /\ agent' = [agent EXCEPT ![a].run = "none", ![a].state = "none", ![a].readers = {},
                               ![a].refused = @ \cup {<<r, flight[r].attempt>> : r \in agent[a].readers}]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, runs, answer, nextClaim, restarts>>

UpstreamFinished(a) ==
    /\ agent[a].state = "running"
    /\ agent' = [agent EXCEPT ![a].state = "ended"]
    /\ net' = net \cup {Frame("Finished", r, r, flight[r].attempt, a, agent[a].inc) : r \in agent[a].readers}
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, runs, answer, nextClaim, restarts>>

(* The link of a reader stays disconnected for longer than the limit. *)
DropDetachedReaders(a, r) ==
    /\ r \in agent[a].readers
    /\ agent' = [agent EXCEPT ![a].readers = @ \ {r}]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, net, runs, answer, nextClaim, restarts>>

(* The record of a claimed run is dropped some time after its outcome; that of another run also while it runs. *)
ReleaseRun(a) ==
    /\ agent[a].readers = {} /\ agent[a].run # "none"
    /\ agent[a].state = "ended" \/ agent[a].state = "queued" \/ ~Claimed
    /\ agent' = [agent EXCEPT ![a].run = "none", ![a].state = "none"]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, net, runs, answer, nextClaim, restarts>>

RestartAgent(a) ==
    /\ restarts < MaxRestarts /\ restarts' = restarts + 1
    /\ agent' = [agent EXCEPT ![a] = NewAgent(@.inc + 1)]
    /\ UNCHANGED <<flight, store, ops, replies, cleanup, net, runs, answer, nextClaim>>

-----------------------------------------------------------------------------
(* Entry: answers. *)

Matches(m, r) ==
    m \in net /\ m.req = r /\ m.attempt = flight[r].attempt /\ flight[r].phase \in {"dispatched", "attaching"}

RetryOrFail(r) ==
    \/ /\ flight[r].attempt < MaxAttempts
       /\ flight' = Phase(r, "queued") /\ UNCHANGED <<answer, cleanup>>
    \/ /\ flight' = Phase(r, "done") /\ Ends(r, "not_run")
       /\ cleanup' = cleanup \cup ({flight[r].own} \ {0})

NotRun(m) ==
    /\ m.kind = "NotRun" /\ Matches(m, m.req) /\ net' = net \ {m}
    /\ RetryOrFail(m.req)
    /\ UNCHANGED <<store, ops, replies, agent, runs, nextClaim, restarts>>

Unseen(m) ==
    /\ m.kind = "Unseen" /\ Matches(m, m.req) /\ net' = net \ {m} /\ flight[m.req].phase = "dispatched"
    /\ RetryOrFail(m.req)
    /\ UNCHANGED <<store, ops, replies, agent, runs, nextClaim, restarts>>

TakeOverClaim(m) ==
    /\ m.kind = "Unseen" /\ Matches(m, m.req) /\ net' = net \ {m} /\ flight[m.req].phase = "attaching"
    /\ nextClaim <= MaxClaims /\ nextClaim' = nextClaim + 1
    /\ LET r == m.req IN
       /\ ops' = ops \cup {[req |-> r, cond |-> flight[r].found, id |-> nextClaim, at |-> flight[r].at,
                            inc |-> flight[r].inc]}
       /\ flight' = Phase(r, "claiming")
    /\ UNCHANGED <<store, replies, cleanup, agent, runs, answer, restarts>>

Accepted(m) ==
    /\ m.kind = "Accepted" /\ Matches(m, m.req) /\ net' = net \ {m}
    /\ flight' = Phase(m.req, "dispatched")
    /\ UNCHANGED <<store, ops, replies, cleanup, agent, runs, answer, nextClaim, restarts>>

Finished(m) ==
    /\ m.kind = "Finished" /\ Matches(m, m.req) /\ net' = net \ {m}
    /\ flight' = Phase(m.req, "done") /\ Ends(m.req, "answered")
    /\ store' = IF store.id # 0 /\ store.id = flight[m.req].own THEN [store EXCEPT !.done = TRUE] ELSE store
    /\ UNCHANGED <<ops, replies, cleanup, agent, runs, nextClaim, restarts>>

Failed(m) ==
    /\ m.kind = "Failed" /\ Matches(m, m.req) /\ net' = net \ {m}
    /\ flight' = Phase(m.req, "done") /\ Ends(m.req, "unknown")
    /\ UNCHANGED <<store, ops, replies, cleanup, agent, runs, nextClaim, restarts>>

(* A link is lost with its frames, except for some that arrive late, and a new link is opened. *)
LinkUp(r) ==
    /\ flight[r].phase \in {"dispatched", "attaching"} /\ flight[r].reattaches < MaxReattaches
    /\ \E late \in SUBSET {m \in net : m.req = r} :
       /\ Cardinality(late) <= MaxLate
       /\ LET f == flight[r]
              others == {m \in net : m.req # r}
              kind == IF f.phase = "attaching" /\ GuardAttach THEN "Attach" ELSE "Reattach"
              about == IF kind = "Attach" THEN f.foundReq ELSE r IN
          IF agent[f.at].inc # f.inc
          THEN flight' = Phase(r, "done") /\ Ends(r, "unknown") /\ net' = others \cup late
          ELSE /\ flight' = [flight EXCEPT ![r].reattaches = @ + 1]
               /\ net' = others \cup late \cup {Frame(kind, r, about, f.attempt, f.at, f.inc)}
               /\ UNCHANGED answer
    /\ UNCHANGED <<store, ops, replies, cleanup, agent, runs, nextClaim, restarts>>

(* The entry dies or the deadline expires; writes and frames in flight still take effect. *)
EntryLost(r) ==
    /\ flight[r].phase # "done"
    /\ flight' = Phase(r, "done") /\ Ends(r, "unknown")
    /\ UNCHANGED <<store, ops, replies, cleanup, net, agent, runs, nextClaim, restarts>>

Next ==
    \/ \E r \in Requests, a \in Agents : SendDispatch(r, a) \/ MakeClaim(r, a) \/ DropDetachedReaders(a, r)
    \/ \E op \in ops : StoreApplies(op)
    \/ \E r \in Requests, reply \in replies : Granted(r, reply) \/ HeldByOther(r, reply) \/ OutcomeStored(r, reply)
    \/ \E r \in Requests : Unavailable(r) \/ LinkUp(r) \/ EntryLost(r)
    \/ ReleaseClaim
    \/ \E m \in net : DispatchArrived(m) \/ AttachArrived(m) \/ ReattachArrived(m) \/ NotRun(m) \/ Unseen(m)
                      \/ TakeOverClaim(m) \/ Accepted(m) \/ Finished(m) \/ Failed(m)
    \/ \E a \in Agents : SubmitToUpstream(a) \/ DropUnrun(a) \/ UpstreamFinished(a) \/ ReleaseRun(a)
                         \/ RestartAgent(a)

Spec == Init /\ [][Next]_vars

-----------------------------------------------------------------------------
(* Invariants 1 and 6 of the design page; the sum is over the requests of one key. *)
RunsAtMostOnce ==
    IF Claimed
    THEN \A r, s \in Requests : runs[r] <= 1 /\ (r # s => runs[r] + runs[s] <= 1)
    ELSE \A r \in Requests : runs[r] <= 1
(* The claim of a key stays with the request that ran; a violation precedes a second run by one step. *)
RunHoldsClaim == Claimed => \A r \in Requests : runs[r] > 0 => store.req = r
(* Invariant 5. *)
NotRunIsTrue == \A r \in Requests : answer[r] = "not_run" => runs[r] = 0

(* Treats states as equal if they differ only in frames and replies that will not be read any more. *)
FromAgent == {"Accepted", "NotRun", "Unseen", "Finished", "Failed"}
Current(m) == flight[m.req].phase \in {"dispatched", "attaching"} /\ m.attempt = flight[m.req].attempt
View ==
    <<[r \in Requests |-> IF flight[r].phase = "done" THEN [NewFlight EXCEPT !.phase = "done"] ELSE flight[r]],
      store, ops, {rep \in replies : flight[rep.op.req].phase = "claiming"},
      {id \in cleanup : id = store.id \/ \E op \in ops : op.id = id},
      {m \in net : m.kind \notin FromAgent \/ Current(m)}, agent, runs,
      [r \in Requests |-> answer[r] = "not_run"], nextClaim, restarts>>
Symmetry == Permutations(Requests) \cup Permutations(Agents)
=============================================================================
