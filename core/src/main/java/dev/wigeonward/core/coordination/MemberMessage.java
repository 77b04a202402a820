package dev.wigeonward.core.coordination;

import dev.wigeonward.core.schedule.RequestDescription;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;

/** Message from a member to a coordinator about one request, which has a number of the member's. */
public sealed interface MemberMessage {
    /** Returns the number of the request, which the member uses once in its lifetime. */
    long number();

    /** The request waits for a placement. A repeated ask has the same number. */
    record Ask(long number, String service, RequestDescription request) implements MemberMessage {}

    /** The request needs no placement any more: its caller disconnected, or the member decides alone. */
    record Withdrawal(long number) implements MemberMessage {}

    /** The first event of the answer arrived. */
    record Progress(long number) implements MemberMessage {}

    /** The request ended, or was not sent although it was granted. */
    record End(long number, Outcome outcome) implements MemberMessage {}
}
