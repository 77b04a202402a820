----------------------------- MODULE Revisions -----------------------------
(* Acceptance of revisions at the store by racing operators, and their adoption and relay between processes.       *)
(* docs/model.md maps the actions to core.revision.                                                                *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Nodes, Operators, MaxNumber, MaxRestarts, MaxFaults,
    GuardSwap,      \* head is written by compare-and-swap
    GuardHigher,    \* a revision is adopted only if its number is higher than the one in force
    GuardHash       \* a revision is adopted only if its text has the hash that came with it

VARIABLES
    head,       \* newest accepted revision
    accepted,   \* accepted text of each number, <<>> before its acceptance
    operator,   \* number that each operator read and has not written yet, or -1
    inForce,    \* revision in force in each process
    net,        \* snapshots and deltas in flight
    faults,     \* number of reads of an older head and of texts damaged in transit
    restarts,
    lowered     \* whether a number in force ever went down within an incarnation
vars == <<head, accepted, operator, inForce, net, faults, restarts, lowered>>

Numbers == 1..MaxNumber
Text(o, n) == <<o, n>>
Nothing == [number |-> 0, text |-> <<>>, hash |-> <<>>]
Sound(n) == [number |-> n, text |-> accepted[n], hash |-> accepted[n]]

Init ==
    /\ head = 0 /\ accepted = [n \in Numbers |-> <<>>]
    /\ operator = [o \in Operators |-> 0 - 1]
    /\ inForce = [p \in Nodes |-> Nothing]
    /\ net = {} /\ faults = 0 /\ restarts = 0 /\ lowered = FALSE

ReadHead(o) ==
    /\ operator[o] = 0 - 1 /\ operator' = [operator EXCEPT ![o] = head]
    /\ UNCHANGED <<head, accepted, inForce, net, faults, restarts, lowered>>

(* The reply may be lost: the operator then reads head and recognizes its own write, so nothing else happens. *)
CompareAndSwapHead(o) ==
    /\ operator[o] >= 0 /\ operator[o] < MaxNumber
    /\ operator' = [operator EXCEPT ![o] = 0 - 1]
    /\ IF operator[o] = head \/ ~GuardSwap
       THEN LET n == operator[o] + 1 IN head' = n /\ accepted' = [accepted EXCEPT ![n] = Text(o, n)]
       ELSE UNCHANGED <<head, accepted>>
    /\ UNCHANGED <<inForce, net, faults, restarts, lowered>>

Adopt(p, revision) ==
    /\ revision.number > inForce[p].number \/ ~GuardHigher
    /\ revision.text = revision.hash \/ ~GuardHash
    /\ inForce' = [inForce EXCEPT ![p] = revision]
    /\ lowered' = (lowered \/ revision.number < inForce[p].number)

StoreRead(p) ==
    /\ head > 0 /\ Adopt(p, Sound(head))
    /\ UNCHANGED <<head, accepted, operator, net, faults, restarts>>

(* The store returns an older head, for example from a member that lags. *)
StoreRegression(p, n) ==
    /\ faults < MaxFaults /\ faults' = faults + 1
    /\ n < head /\ n > 0 /\ Adopt(p, Sound(n))
    /\ UNCHANGED <<head, accepted, operator, net, restarts>>

SendSnapshotPart(p) ==
    /\ inForce[p].number > 0
    /\ net' = net \cup {[kind |-> "snapshot", base |-> <<>>, revision |-> inForce[p]]}
    /\ UNCHANGED <<head, accepted, operator, inForce, faults, restarts, lowered>>

(* Sends a delta against the text of the preceding number. *)
SendDelta(p) ==
    /\ inForce[p].number > 1
    /\ net' = net \cup {[kind |-> "delta", base |-> accepted[inForce[p].number - 1], revision |-> inForce[p]]}
    /\ UNCHANGED <<head, accepted, operator, inForce, faults, restarts, lowered>>

(* A part of the text is damaged or missing in transit; its hash is intact. *)
Damage(m) ==
    /\ faults < MaxFaults /\ faults' = faults + 1
    /\ net' = (net \ {m}) \cup {[m EXCEPT !.revision.text = <<"damaged">>]}
    /\ UNCHANGED <<head, accepted, operator, inForce, restarts, lowered>>

SnapshotPartArrived(p, m) ==
    /\ m.kind = "snapshot" /\ Adopt(p, m.revision)
    /\ UNCHANGED <<head, accepted, operator, net, faults, restarts>>

(* A delta applied to another base gives another text, which the hash of the result detects. *)
DeltaArrived(p, m) ==
    /\ m.kind = "delta"
    /\ Adopt(p, IF m.base = inForce[p].text THEN m.revision ELSE [m.revision EXCEPT !.text = <<"mixed">>])
    /\ UNCHANGED <<head, accepted, operator, net, faults, restarts>>

RestartProcess(p) ==
    /\ restarts < MaxRestarts /\ restarts' = restarts + 1
    /\ inForce' = [inForce EXCEPT ![p] = Nothing]
    /\ UNCHANGED <<head, accepted, operator, net, faults, lowered>>

Next ==
    \/ \E o \in Operators : ReadHead(o) \/ CompareAndSwapHead(o)
    \/ \E p \in Nodes : StoreRead(p) \/ SendSnapshotPart(p) \/ SendDelta(p) \/ RestartProcess(p)
    \/ \E p \in Nodes, n \in Numbers : StoreRegression(p, n)
    \/ \E m \in net : Damage(m)
    \/ \E p \in Nodes, m \in net : SnapshotPartArrived(p, m) \/ DeltaArrived(p, m)

Spec == Init /\ [][Next]_vars
Symmetry == Permutations(Nodes) \cup Permutations(Operators)

(* Invariant 9 of the design page. *)
NumberNeverGoesDown == ~lowered
TextIsAccepted ==
    \A p \in Nodes : inForce[p].number > 0 => inForce[p].text = accepted[inForce[p].number]
=============================================================================
