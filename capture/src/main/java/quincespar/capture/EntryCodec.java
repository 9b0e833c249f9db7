package quincespar.capture;

import java.security.MessageDigest;
import java.util.List;
import quincespar.decision.Scheduler;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/** Encodes and decodes entries. Not thread-safe. */
public final class EntryCodec {
    /** The stored names of entries, events and actions, and of all that they hold, where the code has other names. */
    private static final StoredNames STORED_NAMES = StoredNames.none()
            .type(Scheduler.class, "Gateway")
            .type(Scheduler.Idempotency.class, "Effect")
            .type(Scheduler.DeduplicationScope.class, "Scope")
            .type(Scheduler.MemoryShortagePolicy.class, "Shortage")
            .type(Scheduler.CancelReason.class, "Why")
            .type(Scheduler.EngineTraits.class, "Fleet")
            .type(Scheduler.EngineList.class, "Listed")
            .type(Scheduler.AttemptEnded.class, "Ended")
            .type(Scheduler.AnswerStarted.class, "Started")
            .type(Scheduler.AttemptNote.class, "Note")
            .type(Scheduler.SettingsChanged.class, "Configured")
            .type(Scheduler.ClientLeft.class, "Left")
            .type(Scheduler.TimerFired.class, "Timer")
            .type(Scheduler.ProbeResult.class, "Probed")
            .type(Scheduler.PeerMessage.class, "Told")
            .type(Scheduler.SendAttempt.class, "Send")
            .type(Scheduler.RefuseRequest.class, "Refuse")
            .type(Scheduler.FailRequest.class, "Fail")
            .type(Scheduler.CancelAttempt.class, "Cancel")
            .type(Scheduler.SetTerms.class, "Terms")
            .type(Scheduler.ProbeEngine.class, "Probe")
            .type(Scheduler.WatchEngineList.class, "Watch")
            .type(Scheduler.FetchEngineList.class, "Fetch")
            .type(Scheduler.TellPeers.class, "Tell")
            .constant(Scheduler.MemoryShortagePolicy.QUEUE, "LINE_UP")
            .constant(Scheduler.CancelReason.REQUEST_OVER, "OVER")
            .constant(Scheduler.CancelReason.ENGINE_SILENT, "MUTE")
            .constant(Scheduler.CancelReason.STRAGGLER, "STRAGGLES")
            .constant(Scheduler.CancelReason.WAITS_FOR_LOAD, "HELD")
            .constant(Scheduler.CancelReason.SLOW_PROGRESS, "SLOW")
            .component(Scheduler.ClassSpec.class, "latencyTarget", "aim")
            .component(Scheduler.ClassSpec.class, "targetStretch", "stretch")
            .component(Scheduler.ClassSpec.class, "reward", "worth")
            .component(Scheduler.ClassSpec.class, "lateReward", "lateWorth")
            .component(Scheduler.ClassSpec.class, "idempotency", "effect")
            .component(Scheduler.ClassSpec.class, "deduplicationScope", "scope")
            .component(Scheduler.ClassSpec.class, "deduplicationWindow", "repeatWindow")
            .component(Scheduler.ClassSpec.class, "orderedByKey", "ordered")
            .component(Scheduler.ClassSpec.class, "loadsTables", "loads")
            .component(Scheduler.ClassSpec.class, "allowedZones", "zones")
            .component(Scheduler.ClassSpec.class, "allowedEngineKinds", "kinds")
            .component(Scheduler.Tenant.class, "quotaPerSecond", "quotaPerS")
            .component(Scheduler.Settings.class, "routerIndex", "me")
            .component(Scheduler.Settings.class, "overQuotaRewardFactor", "overShareWorth")
            .component(Scheduler.Settings.class, "discoveryOnRequest", "askDiscovery")
            .component(Scheduler.Settings.class, "clientsMarkRetries", "marksRetry")
            .component(Scheduler.Settings.class, "crossZonePenalty", "crossZonePrice")
            .component(Scheduler.Settings.class, "wastePenalty", "wastePrice")
            .component(Scheduler.Settings.class, "peerMessagePenalty", "peerPrice")
            .component(Scheduler.Settings.class, "engineTraits", "fleet")
            .component(Scheduler.Limits.class, "mayCancel", "cancel")
            .component(Scheduler.Limits.class, "mayProbe", "probe")
            .component(Scheduler.Limits.class, "mayTellPeers", "tell")
            .component(Scheduler.Limits.class, "mayRunConcurrentAttempts", "secondCopies")
            .component(Scheduler.Limits.class, "mayGiveRetryAfter", "retryAfter")
            .component(Scheduler.Limits.class, "maxOpenRequests", "openCap")
            .component(Scheduler.Rules.class, "discoveryInterval", "askEvery")
            .component(Scheduler.Rules.class, "coldPeriod", "cold")
            .component(Scheduler.Rules.class, "coldCapacityShare", "coldShare")
            .component(Scheduler.Rules.class, "overloadWindow", "fall")
            .component(Scheduler.Rules.class, "overloadMultiple", "fallMultiple")
            .component(Scheduler.Rules.class, "settlePeriod", "settle")
            .component(Scheduler.Rules.class, "retryBudgetBase", "budgetFree")
            .component(Scheduler.Rules.class, "retryBudgetRatio", "budgetShare")
            .component(Scheduler.Rules.class, "retryBudgetWindow", "budgetSpan")
            .component(Scheduler.EngineTraits.class, "coresByKind", "cores")
            .component(Scheduler.EngineTraits.class, "memoryByKind", "memory")
            .component(Scheduler.EngineTraits.class, "acceptsMemoryGrants", "takesGrants")
            .component(Scheduler.EngineTraits.class, "supportsPriorities", "priorities")
            .component(Scheduler.EngineTraits.class, "onMemoryShortage", "shortage")
            .component(Scheduler.EngineTraits.class, "noteInterval", "notePeriod")
            .component(Scheduler.EngineTraits.class, "reportsWork", "tellsCost")
            .component(Scheduler.Request.class, "requestClass", "cls")
            .component(Scheduler.Request.class, "clientTimeout", "patience")
            .component(Scheduler.Request.class, "estimatedWork", "work")
            .component(Scheduler.Request.class, "estimatedMemory", "memory")
            .component(Scheduler.Request.class, "tableGroup", "tables")
            .component(Scheduler.AttemptEnded.class, "requestOver", "over")
            .component(Scheduler.AttemptEnded.class, "reportedWork", "work")
            .component(Scheduler.AttemptEnded.class, "reportedMemory", "memory")
            .component(Scheduler.AttemptEnded.class, "engineReport", "load")
            .component(Scheduler.SettingsChanged.class, "droppedClasses", "dropped")
            .component(Scheduler.ProbeResult.class, "engineReport", "load")
            .component(Scheduler.PeerMessage.class, "payload", "text")
            .component(Scheduler.RefuseRequest.class, "retryAfter", "comeBack")
            .component(Scheduler.CancelAttempt.class, "reason", "why")
            .component(Scheduler.SetTerms.class, "memoryGrant", "memory")
            .component(Scheduler.WatchEngineList.class, "enabled", "on")
            .component(Scheduler.TellPeers.class, "payload", "text")
            .component(Entry.Opening.class, "moduleDigest", "module")
            .component(Entry.Gap.class, "lostCalls", "calls")
            .component(Entry.Gap.class, "reason", "why");

    private final RecordCodec records = new RecordCodec(STORED_NAMES, Entry.class, Scheduler.Event.class, Scheduler.Action.class);

    /** Sixteen hex digits that identify the format of entries. */
    public String schema() {
        return Digests.shortHex(schemaText());
    }

    /** The schema of the records, of which {@link #schema()} is the digest. */
    String schemaText() {
        return records.schema();
    }

    /** Encodes an entry. */
    public byte[] write(Entry entry) {
        return records.write(entry);
    }

    /** Decodes an entry; throws {@link MalformedCaptureException} for any other bytes. */
    public Entry read(byte[] bytes) throws MalformedCaptureException {
        try {
            return records.read(bytes, Entry.class);
        } catch (MalformedRecordException e) {
            throw new MalformedCaptureException(e.getMessage(), e);
        }
    }

    /** An event or action, or a list of these, in the form of {@link Record#toString()} with the stored names. */
    public String toText(Object value) {
        return records.toText(value);
    }

    /** Adds a call's time and actions, encoded, to a digest by which two replays can be compared. */
    void digest(MessageDigest digest, Entry.Call call) {
        digest.update(write(new Entry.Call(call.time(), List.of(), call.actions())));
    }
}
