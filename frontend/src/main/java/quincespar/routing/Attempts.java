package quincespar.routing;

import java.util.List;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Outcome;

/** The attempts of all requests: sends them to engines and decides how each ends. */
final class Attempts {
    /** How long a cancel may wait in an outbox before its link counts as blocked. */
    private static final double CANCEL_TIMEOUT_MS = 1000;
    private static final int MAX_RESULT_BYTES = 48_000;

    private final StepContext context;
    private final Requests requests;
    private final EngineRegistry engines;
    private final AttemptCounters counters;
    private final RecoveryCoordinator recovery;
    private Links links;
    private int openCount;

    Attempts(StepContext context, Requests requests, EngineRegistry engines, AttemptCounters counters,
            RecoveryCoordinator recovery) {
        this.context = context;
        this.requests = requests;
        this.engines = engines;
        this.counters = counters;
        this.recovery = recovery;
    }

    /** Sets the links that carry the attempts: links and attempts use each other, as do attempts and requests. */
    void setLinks(Links links) {
        this.links = links;
        requests.setAttempts(this);
    }

    /** How many attempts have begun and not ended: as many as the decision module counts, between two steps of the reducer. */
    int openCount() {
        return openCount;
    }

    /** The cancel of an attempt has been written. */
    void cancelWritten(Attempt attempt) {
        if (attempt != null && attempt.outcome == null && attempt.cancelOutcome != null) {
            end(attempt, attempt.cancelOutcome);
        }
    }

    /** The decision module cancels an attempt. */
    void cancelByModule(Attempt attempt, Scheduler.CancelReason why) {
        if (attempt != null) {
            counters.countCancelled(why, attempt.request.spec.name());
            stop(attempt, Outcome.CANCELLED);
        }
    }

    /** An attempt has run for as long as it may. */
    void timedOut(Attempt attempt) {
        if (attempt != null) {
            stop(attempt, Outcome.TIMEOUT);
        }
    }

    /** The cancel of an attempt has not been written in time: its link is closed, which ends all attempts on it. */
    void cancelTimedOut(Attempt attempt) {
        if (attempt != null && attempt.outcome == null) {
            links.close(attempt.link, "it takes no cancel");
        }
    }

    void refuse(OpenRequest request, double retryAfterMs) {
        if (request != null && !request.refusable()) { // a refusal tells the client that a retry is safe
            context.addEffect(new Effect.Log("request " + request.query.txn()
                    + " may have run; it is answered as failed instead of refused"));
            requests.answer(request, new Reply.Failed());
        } else {
            requests.answer(request, new Reply.Refused(retryAfterMs));
        }
    }

    /** Sets the priority of a request's next attempts. The protocol has no field for a memory grant. */
    void setTerms(OpenRequest request, Scheduler.SetTerms terms) {
        if (request != null) {
            request.priority = terms.priority();
        }
        if (terms.memoryGrant() > 0) {
            context.addEffect(new Effect.Log("ignored a memory grant, which the protocol does not support: " + terms));
        }
    }

    /**
     * Sends the next attempt of a request as the decision module asks. The module counts the attempt from then on, so that it
     * begins here in any case, with the same number, and each way out of here leads to its end or to a link.
     */
    void send(OpenRequest request, Scheduler.SendAttempt action) {
        if (request == null) { // it is over, and the module has been told
            logInvalid(action);
            return;
        }
        boolean invalid = request.closed || isForbiddenRepeat(request);
        Attempt attempt = begin(request, action);
        if (invalid) {
            logInvalid(action);
            end(attempt, Outcome.MOOT);
        } else if (requests.inputUnreadTooLong(request)) {
            end(attempt, Outcome.MOOT);
            requests.refuseUnlessRunning(request);
        } else {
            assignLink(attempt);
        }
    }

    private void logInvalid(Scheduler.SendAttempt action) {
        context.addEffect(new Effect.Log("ignored an invalid action of the decision module: " + action));
    }

    /** An unsafe request is never sent twice, and none has two attempts at once unless the settings allow it. */
    private boolean isForbiddenRepeat(OpenRequest request) {
        return request.unsafe() && request.mayHaveRun()
                || request.running() && !context.settings.decision().limits().mayRunConcurrentAttempts();
    }

    private Attempt begin(OpenRequest request, Scheduler.SendAttempt action) {
        double timeoutAt = action.timeout() > 0 ? Math.min(request.deadline, context.now + action.timeout()) : request.deadline;
        Attempt attempt = new Attempt(request, request.attempts.size(), action.engine(), context.now, timeoutAt,
                request.startDeadline() - context.settings.decision().tick());
        request.attempts.add(attempt);
        openCount++;
        return attempt;
    }

    /** Puts an attempt on a link to its engine, or ends it where there is none. */
    private void assignLink(Attempt attempt) {
        OpenRequest request = attempt.request;
        EngineRegistry.Engine engine = engines.get(attempt.engine);
        if (engine == null || !engine.ready() || context.now >= attempt.startDeadline) {
            end(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        attempt.link = links.select(engine, request.query.txn(), request.unsafe());
        if (attempt.link == null) {
            end(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        context.startTimer(new TimerKey.AttemptTimeout(attempt.key), attempt.timeoutAt - context.now);
        if (attempt.startDeadline < attempt.timeoutAt) {
            context.startTimer(new TimerKey.StartDeadline(attempt.key), attempt.startDeadline - context.now);
        }
        attempt.link.open.put(request.query.txn(), attempt);
        recovery.requestSent(request, engine);
        if (attempt.link.up) {
            write(attempt);
        }
    }

    /** Writes an attempt to its link, which is up. */
    void write(Attempt attempt) {
        if (context.now >= attempt.startDeadline) {
            withdraw(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        attempt.awaitingInput = requests.inputUnread(attempt.request);
        if (attempt.awaitingInput) {
            if (requests.inputUnreadTooLong(attempt.request)) {
                withdraw(attempt, Outcome.MOOT);
                requests.refuseUnlessRunning(attempt.request);
            }
            return;
        }
        Query query = attempt.request.query;
        String engine = attempt.link.engine.listed.id();
        counters.countAtEngine(engine, "sent");
        context.trace(() -> "request " + query.txn() + ": attempt " + attempt.key.attempt() + " sent to " + engine
                + " on connection " + attempt.link.id);
        if (attempt.request.unsafe()) {
            context.addEffect(new Effect.RecordStart(query.txn()));
        }
        context.addEffect(new Effect.Send(attempt.link.id, attempt.key, query.txn(), attempt.request.spec.name(),
                query.idempotencyKey(), attempt.request.priority, Math.max(1, Math.round(attempt.timeoutAt - context.now)),
                query.statement(), attempt.write));
    }

    /** All input of a request's connection has been read: attempts that waited for that are written. */
    void writeAwaitingInput(OpenRequest request) {
        for (Attempt attempt : List.copyOf(request.attempts)) {
            if (attempt.awaitingInput && attempt.outcome == null && attempt.link.up) {
                write(attempt);
            }
        }
    }

    /** An attempt does not fit into the outbox of its link: it ends alone, and the link takes no new ones. */
    void rejected(Attempt attempt) {
        if (attempt != null && attempt.outcome == null) {
            attempt.link.suspect = true;
            withdraw(attempt, Outcome.CONNECT_FAILED);
        }
    }

    /** The time in which an attempt may start is over. */
    void startDeadlinePassed(Attempt attempt) {
        if (attempt != null) {
            withdraw(attempt, Outcome.CONNECT_FAILED);
        }
    }

    /** Withdraws the attempts of a request that have not started: it has been answered, or its client has left. */
    void withdrawAll(OpenRequest request) {
        List.copyOf(request.attempts).forEach(a -> withdraw(a, Outcome.MOOT));
    }

    /**
     * Ends an attempt of which no byte has been written, which proves that it never ran; false where it has started. This is
     * the only way to take back a queued attempt, whether its client, its engine or its time is gone.
     */
    boolean withdraw(Attempt attempt, Outcome outcome) {
        if (attempt.outcome == null && attempt.write.withdraw()) {
            end(attempt, outcome);
            return true;
        }
        return false;
    }

    /** Stops an attempt. If a cancel is needed, the decision module is told of the end only once the cancel is written. */
    void stop(Attempt attempt, Outcome outcome) {
        if (attempt.outcome != null || attempt.cancelOutcome != null) {
            return;
        }
        if (withdraw(attempt, outcome == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : outcome)) {
            return;
        }
        if (attempt.done()) {
            context.addEffect(new Effect.Release(attempt.link.id, attempt.txn()));
        }
        if (attempt.done() && !attempt.blocksKeyDespiteReport()) {
            end(attempt, outcome);
        } else {
            cancel(attempt, outcome);
        }
    }

    void end(Attempt attempt, Outcome outcome) {
        if (attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        openCount--;
        attempt.endedAt = context.now;
        count(attempt, outcome);
        context.stopTimer(new TimerKey.AttemptTimeout(attempt.key));
        if (attempt.startDeadline < attempt.timeoutAt) {
            context.stopTimer(new TimerKey.StartDeadline(attempt.key));
        }
        if (attempt.cancelOutcome != null) {
            context.stopTimer(new TimerKey.CancelTimeout(attempt.key));
        }
        if (attempt.link != null && attempt.link.open.remove(attempt.txn(), attempt)) {
            // the next request then tries a new link, which shows whether the engine or only this link is unreachable
            attempt.link.suspect |= attempt.cancelOutcome != null && attempt.link.lastHeardAt < attempt.createdAt;
            links.startIdleTimer(attempt.link);
        }
        context.addEvent(new Scheduler.AttemptEnded(attempt.key.request(), attempt.key.attempt(), attempt.engine, outcome,
                context.now - attempt.createdAt, attempt.request.closed, Double.NaN, Double.NaN, attempt.load));
        requests.removeIfEnded(attempt.request);
    }

    private void count(Attempt attempt, Outcome outcome) {
        long durationMs = Math.round(context.now - attempt.createdAt);
        context.trace(() -> "request " + attempt.txn() + ": attempt " + attempt.key.attempt() + " ended as " + outcome + " after "
                + durationMs + " ms" + (attempt.link == null ? ", never sent" : " at " + attempt.link.engine.listed.id()));
        counters.count(attempt.link == null ? "unsent" : "ended", outcome, attempt.request.spec.name());
        counters.add("ms", outcome, attempt.request.spec.name(), durationMs);
        if (attempt.link != null) {
            counters.countAtEngine(attempt.link.engine.listed.id(), outcome.name());
        }
    }

    void received(Input.EngineMessageReceived input) {
        Link link = links.get(input.link());
        if (link == null) {
            return;
        }
        link.lastHeardAt = context.now;
        EngineMessage message = input.message();
        if (message instanceof EngineMessage.Malformed malformed) {
            if (link.open.containsKey(malformed.id())) { // for an id that is not open, no message matters
                links.close(link, Links.MALFORMED + malformed.reason());
            }
            return;
        }
        if (message instanceof EngineMessage.Health health) {
            links.probeEnded(health.id(), health.healthy(), health.load());
            return;
        }
        Attempt attempt = link.open.get(message.id());
        if (attempt == null) {
            return; // late: its attempt has ended, and another attempt must not take it for its own
        }
        if (message instanceof EngineMessage.Note note) {
            context.addEvent(new Scheduler.AttemptNote(attempt.key.request(), attempt.key.attempt(), attempt.engine, note.kind(),
                    note.value()));
        } else if (message instanceof EngineMessage.Done done) {
            resultStarted(attempt, done);
        } else if (message instanceof EngineMessage.Page page && attempt.done()) {
            if (attempt.addPage(page.number(), page.content())) {
                answerIfComplete(attempt);
            } else {
                links.close(link, Links.MALFORMED + "page " + page.number() + " of " + attempt.pageCount());
            }
        } else if (message instanceof EngineMessage.Full full && !attempt.done()) { // after Done it proves nothing
            attempt.load = full.load();
            link.answered.add(attempt.txn());
            endWithoutRun(attempt, Outcome.FULL);
        } else if (message instanceof EngineMessage.Expired expired && !attempt.done()) {
            attempt.load = expired.load();
            link.answered.add(attempt.txn());
            endWithoutRun(attempt, Outcome.MOOT);
        } else if (message instanceof EngineMessage.Failed failed) {
            attempt.load = failed.load().isEmpty() ? attempt.load : failed.load();
            if (attempt.done()) {
                context.addEffect(new Effect.Release(link.id, message.id()));
            }
            link.answered.add(attempt.txn());
            fail(attempt); // also where only a page is lost: the query has run
        }
    }

    /**
     * An attempt has failed. Where an earlier attempt of its request was cancelled on its link, the error may belong to that
     * one and have crossed its cancel on the wire; then this one still runs, and is cancelled before another is sent.
     */
    private void fail(Attempt attempt) {
        if (attempt.followsCancelled()) {
            cancel(attempt, Outcome.ERROR);
        } else {
            end(attempt, Outcome.ERROR);
        }
    }

    /** The engine reports that an attempt has not run, which proves nothing if it may belong to an earlier attempt. */
    private void endWithoutRun(Attempt attempt, Outcome outcome) {
        if (attempt.blocksKeyDespiteReport()) {
            cancelUnlessCancelled(attempt, Outcome.ERROR);
        } else {
            end(attempt, outcome);
        }
    }

    private void cancelUnlessCancelled(Attempt attempt, Outcome outcome) {
        if (attempt.outcome == null && attempt.cancelOutcome == null) {
            cancel(attempt, outcome);
        }
    }

    private void cancel(Attempt attempt, Outcome outcome) {
        attempt.cancelOutcome = outcome;
        attempt.link.cancelled.add(attempt.txn());
        context.startTimer(new TimerKey.CancelTimeout(attempt.key), CANCEL_TIMEOUT_MS);
        context.addEffect(new Effect.Cancel(attempt.link.id, attempt.key, attempt.txn()));
    }

    private void resultStarted(Attempt attempt, EngineMessage.Done done) {
        if (attempt.done() || attempt.cancelOutcome != null && done.pageCount() > 1) {
            return; // repeated; or cancelled in the meantime, and its further pages with it
        }
        attempt.load = done.load();
        attempt.startResult(done.pageCount(), done.firstPage());
        for (int page = 1; page < done.pageCount() && attempt.resultBytes() <= MAX_RESULT_BYTES; page++) {
            context.addEffect(new Effect.ReadPage(attempt.link.id, done.id(), page));
        }
        answerIfComplete(attempt);
    }

    private void answerIfComplete(Attempt attempt) {
        boolean tooLong = attempt.resultBytes() > MAX_RESULT_BYTES; // often known before all pages are there
        if (!tooLong && !attempt.hasAllPages()) {
            return;
        }
        if (attempt.pageCount() > 1) {
            context.addEffect(new Effect.Release(attempt.link.id, attempt.txn()));
        }
        if (tooLong) {
            attempt.link.answered.add(attempt.txn()); // a retry goes on another link, as pages may still arrive on this one
            fail(attempt);
            return;
        }
        byte[] result = attempt.result();
        if (attempt.blocksKeyDespiteReport()) { // it ends, and the key is free, only once its cancel is written
            requests.answer(attempt.request, new Reply.Served(result));
            cancelUnlessCancelled(attempt, Outcome.CANCELLED);
            return;
        }
        if (attempt.followsCancelled()) { // it may be the answer to the cancelled attempt, so that this one still runs
            context.addEffect(new Effect.Cancel(attempt.link.id, attempt.key, attempt.txn()));
        }
        requests.answer(attempt.request, new Reply.Served(result));
        end(attempt, Outcome.OK);
    }
}
