------------------------------- MODULE Orders -------------------------------
(* The controller lease at the store and the fencing of orders at one agent. docs/model.md maps the actions to    *)
(* core.order.                                                                                                     *)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Controllers, MaxElections, MaxRestarts,
    GuardFencing,   \* an order with a lower number than the highest seen is refused
    GuardStoreRead, \* a restarted agent runs nothing before it has read the number from the store
    GuardNoLease,   \* a read that finds no controller confirms nothing
    GuardFreshRead  \* an answer is used only by the incarnation that sent the read

VARIABLES
    lease,          \* fencing number of the controller key in the store, 0 while the key does not exist
    elections,      \* creation revisions given out
    holds,          \* fencing number under which each controller believes it holds the lease, 0 if it does not
    net,            \* orders in flight
    gate,           \* state in memory of the agent's order gate
    reads,          \* answers of the store in flight to the agent
    executed,       \* highest number that the engine carried out, over all incarnations of the agent
    stale           \* whether the engine carried out an order with a lower number after that
vars == <<lease, elections, holds, net, gate, reads, executed, stale>>

NewGate(inc) == [inc |-> inc, highest |-> 0, confirmed |-> ~GuardStoreRead, waiting |-> {}, reading |-> FALSE]
Max(a, b) == IF a > b THEN a ELSE b

Init ==
    /\ lease = 0 /\ elections = 0 /\ holds = [c \in Controllers |-> 0]
    /\ net = {} /\ gate = NewGate(1) /\ reads = {} /\ executed = 0 /\ stale = FALSE

Acquire(c) ==
    /\ lease = 0 /\ elections < MaxElections
    /\ elections' = elections + 1 /\ lease' = elections + 1
    /\ holds' = [holds EXCEPT ![c] = elections + 1]
    /\ UNCHANGED <<net, gate, reads, executed, stale>>

(* The lease expires at the store; a paused holder does not notice. *)
Expire ==
    /\ lease # 0 /\ lease' = 0
    /\ UNCHANGED <<elections, holds, net, gate, reads, executed, stale>>

SendOrder(c) ==
    /\ holds[c] # 0
    /\ net' = net \cup {holds[c]}
    /\ UNCHANGED <<lease, elections, holds, gate, reads, executed, stale>>

(* Runs or refuses a set of orders, given the highest known fencing number. *)
Decide(orders, highest) ==
    LET runs == IF GuardFencing THEN {n \in orders : n >= highest} ELSE orders IN
    /\ executed' = IF runs = {} THEN executed ELSE Max(executed, CHOOSE n \in runs : \A k \in runs : n >= k)
    /\ stale' = (stale \/ \E n \in runs : n < executed)

(* Orders may be delivered late and more than once: they stay in `net`. *)
OrderReceived(n) ==
    /\ n \in net
    /\ LET highest == Max(gate.highest, n) IN
       IF gate.confirmed
       THEN gate' = [gate EXCEPT !.highest = highest] /\ Decide({n}, highest) /\ UNCHANGED reads
       ELSE /\ gate' = [gate EXCEPT !.highest = highest, !.waiting = @ \cup {n}, !.reading = TRUE]
            /\ reads' = IF gate.reading THEN reads ELSE reads \cup {[inc |-> gate.inc, number |-> lease]}
            /\ UNCHANGED <<executed, stale>>
    /\ UNCHANGED <<lease, elections, holds, net>>

FencingSeen ==
    /\ lease # 0 /\ gate' = [gate EXCEPT !.highest = Max(@, lease)]
    /\ UNCHANGED <<lease, elections, holds, net, reads, executed, stale>>

FencingRead(read) ==
    /\ read \in reads /\ reads' = reads \ {read}
    /\ read.inc = gate.inc \/ ~GuardFreshRead
    /\ IF read.number = 0 /\ GuardNoLease
       THEN gate' = [gate EXCEPT !.waiting = {}, !.reading = FALSE] /\ UNCHANGED <<executed, stale>>
       ELSE LET highest == Max(gate.highest, read.number) IN
            /\ gate' = [gate EXCEPT !.highest = highest, !.confirmed = TRUE, !.waiting = {}, !.reading = FALSE]
            /\ Decide(gate.waiting, highest)
    /\ UNCHANGED <<lease, elections, holds, net>>

StoreUnavailable ==
    /\ gate.reading
    /\ gate' = [gate EXCEPT !.waiting = {}, !.reading = FALSE]
    /\ reads' = {read \in reads : read.inc # gate.inc}
    /\ UNCHANGED <<lease, elections, holds, net, executed, stale>>

RestartAgent ==
    /\ gate.inc <= MaxRestarts
    /\ gate' = NewGate(gate.inc + 1)
    /\ UNCHANGED <<lease, elections, holds, net, reads, executed, stale>>

Next ==
    \/ \E c \in Controllers : Acquire(c) \/ SendOrder(c)
    \/ Expire \/ FencingSeen \/ StoreUnavailable \/ RestartAgent
    \/ \E n \in net : OrderReceived(n)
    \/ \E read \in reads : FencingRead(read)

Spec == Init /\ [][Next]_vars

(* No order is executed after one with a higher number, not even after a restart with empty memory. *)
NoOldOrderAfterNewer == ~stale
=============================================================================
