package dev.wigeonward.gateway.peer;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import dev.wigeonward.core.cap.EntryGroup;
import dev.wigeonward.core.membership.EntryMembership;
import dev.wigeonward.gateway.event.EventLog;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.gateway.port.EntryRegistry;
import io.netty.channel.EventLoop;

/**
 * Keeps the number of entries that share budgets up to date, from what this entry hears and what the registry of
 * entries states. Runs on the event loop.
 */
final class SharedBudgets {
    /** Age above which a peer's state no longer counts as heard. */
    static final long MAX_STATE_AGE_MILLIS = 1_500;
    /**
     * Shortest interval between renewals of the registration, and between readings of the registry while an entry is
     * missed.
     */
    private static final long MIN_PERIOD_MILLIS = 2_000;
    /** Interval between attempts to register while none has succeeded. */
    private static final long RETRY_MILLIS = 500;
    /** Part of the interval for each known entry, so that the rate of calls of all entries stays bounded. */
    private static final long PERIOD_MILLIS_PER_ENTRY = 20;
    /** Intervals for which a registration lasts without renewal, so that a renewal that fails is repeated in time. */
    private static final int REGISTRATION_PERIODS = 3;

    private final String ownAddress;
    private final GatewayDispatcher dispatcher;
    private final EntryRegistry registry;
    private final LongSupplier nowMillis;
    private final EventLog log;
    private final EventLoop loop;
    private final EntryMembership membership;
    private long registeredUntilMillis;
    /** Whether the last attempt to register is known to have succeeded. */
    private boolean confirmed;

    private EntryGroup group = EntryGroup.SINGLE;

    private SharedBudgets(
            String ownAddress,
            GatewayDispatcher dispatcher,
            EntryRegistry registry,
            EventLoop loop,
            LongSupplier nowMillis,
            EventLog log) {
        this.ownAddress = ownAddress;
        this.dispatcher = dispatcher;
        this.registry = registry;
        this.loop = loop;
        this.nowMillis = nowMillis;
        this.log = log;
        // An entry that has just started is registered within this time, and has used nothing yet.
        this.registeredUntilMillis = nowMillis.getAsLong() + MIN_PERIOD_MILLIS;
        this.membership = EntryMembership.of(ownAddress, REGISTRATION_PERIODS * MIN_PERIOD_MILLIS);
    }

    /**
     * Starts the registration of this entry.
     *
     * @param seeds addresses of entries that may be running, which count until the registry has been read
     */
    static SharedBudgets start(
            String ownAddress,
            Iterable<String> seeds,
            GatewayDispatcher dispatcher,
            EntryRegistry registry,
            EventLoop loop,
            LongSupplier nowMillis,
            EventLog log) {
        SharedBudgets budgets = new SharedBudgets(ownAddress, dispatcher, registry, loop, nowMillis, log);
        budgets.onTold(seeds);
        loop.execute(dispatcher.telemetry().guard("entry_registry", budgets::registerAndRead));
        return budgets;
    }

    private void registerAndRead() {
        long periodMillis = Math.max(MIN_PERIOD_MILLIS, PERIOD_MILLIS_PER_ENTRY * membership.known());
        loop.schedule(
                dispatcher.telemetry().guard("entry_registry", this::registerAndRead),
                confirmed ? periodMillis : RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
        long sentAtMillis = nowMillis.getAsLong();
        long validMillis = REGISTRATION_PERIODS * periodMillis;
        registry.register(ownAddress, validMillis, confirmedMillis -> {
            confirmed = confirmedMillis > 0;
            if (confirmed) {
                registeredUntilMillis = sentAtMillis + confirmedMillis;
            }
        });
        if (membership.startReadingIfDue(sentAtMillis)) {
            registry.read(ownAddress, registered -> {
                registered.ifPresentOrElse(
                        addresses -> membership.onRegistryRead(addresses, nowMillis.getAsLong()),
                        membership::onRegistryFailed);
                update();
            });
        }
    }

    /** Records that a peer was heard. */
    void onHeard(String address) {
        membership.onHeard(address, nowMillis.getAsLong());
    }

    /** Records entries that a peer or the settings name. */
    void onTold(Iterable<String> addresses) {
        membership.onTold(addresses, nowMillis.getAsLong());
    }

    /** Applies the current numbers of entries. */
    void update() {
        long now = nowMillis.getAsLong();
        EntryGroup newer = new EntryGroup(
                membership.heardWithin(MAX_STATE_AGE_MILLIS, now), membership.known(), now < registeredUntilMillis);
        if (!newer.equals(group)) {
            group = newer;
            log.info(
                    "entries_counted",
                    "heard=" + group.heard() + " known=" + group.known() + " registered=" + group.registered());
        }
        dispatcher.setEntries(group);
    }
}
