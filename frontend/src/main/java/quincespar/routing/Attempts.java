package quincespar.routing;

import java.util.List;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Outcome;

/** What is sent to engines for a request, one at a time, and how each sending ends. */
final class Attempts {
    /** How long a cancel may wait in an outbox before its link is taken for stuck. */
    private static final double CANCEL = 1000;
    private static final int MOST_BYTES = 48_000;

    private final StepContext turn;
    private final Requests requests;
    private final EngineRegistry fleet;
    private final AttemptCounters tally;
    private final RecoveryCoordinator returning;
    private Links links;

    Attempts(StepContext turn, Requests requests, EngineRegistry fleet, AttemptCounters tally, RecoveryCoordinator returning) {
        this.returning = returning;
        this.turn = turn;
        this.requests = requests;
        this.fleet = fleet;
        this.tally = tally;
    }

    /** What carries them; the two know each other, as do these and the requests. */
    void over(Links carrying) {
        links = carrying;
        requests.with(this);
    }

    /** Its cancel has been written. */
    void cancelled(Attempt a) {
        if (a != null && a.outcome == null && a.givenUp != null) {
            end(a, a.givenUp);
        }
    }

    /** The module gives it up. */
    void cut(Attempt a, Gateway.Why why) {
        if (a != null) {
            tally.count("cut", why, a.request.spec.name());
            giveUp(a, Outcome.CANCELLED);
        }
    }

    /** It has had its time. */
    void due(Attempt a) {
        if (a != null) {
            giveUp(a, Outcome.TIMEOUT);
        }
    }

    /** Its cancel ought to be written by now: closing gives up all that is open on its link. */
    void cancelDue(Attempt a) {
        if (a != null && a.outcome == null) {
            links.drop(a.link, "it takes no cancel");
        }
    }

    void refuse(OpenRequest r, double comeBack) {
        if (r != null && !r.refusable()) { // a refusal says that a repeat is harmless
            turn.effect(new Effect.Log("refusal of " + r.query.txn() + ", which may have run, was made a failure"));
            requests.answer(r, new Reply.Failed());
        } else {
            requests.answer(r, new Reply.Refused(comeBack));
        }
    }

    void send(OpenRequest r, Gateway.Send s) {
        boolean twice = r != null && (r.unsafe() && r.mayHaveRun()
                || r.running() && !turn.site.decision().limits().secondCopies());
        if (r == null || r.over || twice) { // a load never twice, and never two at once
            turn.effect(new Effect.Log("the module's " + s + " was not carried out"));
            return;
        }
        double until = s.timeout() > 0 ? Math.min(r.until, turn.now + s.timeout()) : r.until;
        Attempt a = new Attempt(r, r.attempts.size(), s.engine(), turn.now, until,
                r.beginBy() - turn.site.decision().tick());
        r.attempts.add(a);
        EngineRegistry.Engine e = fleet.get(s.engine());
        if (e == null || !e.ready() || turn.now >= a.beginBy) {
            end(a, Outcome.CONNECT_FAILED);
            return;
        }
        turn.timer(new TimerKey.AttemptTimeout(a.key), until - turn.now);
        if (a.beginBy < until) {
            turn.timer(new TimerKey.StartDeadline(a.key), a.beginBy - turn.now);
        }
        a.link = links.link(e, r.query.txn(), r.unsafe());
        if (a.link == null) {
            end(a, Outcome.CONNECT_FAILED);
            return;
        }
        a.link.open.put(r.query.txn(), a);
        returning.sent(r, e);
        if (a.link.up) {
            write(a);
        }
    }

    void write(Attempt a) {
        if (turn.now >= a.beginBy) {
            withdraw(a, Outcome.CONNECT_FAILED);
            return;
        }
        Query q = a.request.query;
        tally.engine(a.link.engine.listed.id(), "sent");
        turn.trace(() -> "request " + q.txn() + ": attempt " + a.key.attempt() + " goes to " + a.link.engine.listed.id()
                + " on connection " + a.link.id);
        turn.effect(new Effect.Send(a.link.id, a.key, q.txn(), a.request.spec.name(), q.idempotencyKey(),
                Math.max(1, Math.round(a.until - turn.now)), q.statement(), a.write));
    }

    /** It ought to have begun by now. */
    void beginDue(Attempt a) {
        if (a != null) {
            withdraw(a, Outcome.CONNECT_FAILED);
        }
    }

    /** What of a request has not begun will not: nobody waits for it any more. */
    void withdraw(OpenRequest r) {
        List.copyOf(r.attempts).forEach(a -> withdraw(a, Outcome.MOOT));
    }

    /**
     * Ends an attempt of which no byte has gone out, with the proof that none ever will; false where it has begun. The
     * one way for all that takes a queued attempt back: its client, its engine or its time may be gone by then.
     */
    boolean withdraw(Attempt a, Outcome as) {
        if (a.outcome == null && a.write.withdraw()) {
            end(a, as);
            return true;
        }
        return false;
    }

    /** Ends an attempt from here. The module hears of it once the cancel is written, and not before. */
    void giveUp(Attempt a, Outcome as) {
        if (a.outcome != null || a.givenUp != null) {
            return;
        }
        if (withdraw(a, as == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : as)) {
            return;
        }
        if (a.done()) {
            turn.effect(new Effect.Release(a.link.id, a.txn()));
            end(a, as);
        } else {
            cancel(a, as);
        }
    }

    void end(Attempt a, Outcome outcome) {
        if (a.outcome != null) {
            return;
        }
        a.outcome = outcome;
        turn.trace(() -> "request " + a.txn() + ": attempt " + a.key.attempt() + " ends " + outcome + " after "
                + Math.round(turn.now - a.at) + " ms" + (a.link == null ? ", never sent" : " at " + a.link.engine.listed.id()));
        tally.count(a.link == null ? "unsent" : "ended", outcome, a.request.spec.name());
        tally.add("ms", outcome, a.request.spec.name(), Math.round(turn.now - a.at));
        if (a.link != null) {
            tally.engine(a.link.engine.listed.id(), outcome.name());
        }
        turn.stop(new TimerKey.AttemptTimeout(a.key));
        if (a.beginBy < a.until) {
            turn.stop(new TimerKey.StartDeadline(a.key));
        }
        if (a.givenUp != null) {
            turn.stop(new TimerKey.CancelTimeout(a.key));
        }
        if (a.link != null && a.link.open.remove(a.txn(), a)) {
            // silent since before it was sent: what is sent next tries a new connection, which proves more
            a.link.suspect |= a.givenUp != null && a.link.heardAt < a.at;
            links.rest(a.link);
        }
        turn.event(new Gateway.Ended(a.key.request(), a.key.attempt(), a.engine, outcome, turn.now - a.at,
                a.request.over, Double.NaN, Double.NaN, a.load));
        requests.forget(a.request);
    }

    void said(Input.EngineMessageReceived x) {
        Link l = links.get(x.link());
        if (l == null) {
            return;
        }
        l.heardAt = turn.now;
        EngineMessage news = x.message();
        if (news instanceof EngineMessage.Malformed u) {
            if (l.open.containsKey(u.id())) { // under an id that is not open it is no news, readable or not
                links.drop(l, Links.MALFORMED + u.reason());
            }
            return;
        }
        if (news instanceof EngineMessage.Health h) {
            links.probed(h.id(), h.healthy(), h.load());
            return;
        }
        Attempt a = l.open.get(news.id());
        if (a == null) {
            return; // late: its attempt has ended, and nothing of it may pass for another's
        }
        if (news instanceof EngineMessage.Note n) {
            turn.event(new Gateway.Note(a.key.request(), a.key.attempt(), a.engine, n.kind(), n.value()));
        } else if (news instanceof EngineMessage.Done d) {
            done(a, d);
        } else if (news instanceof EngineMessage.Page p && a.done()) {
            if (a.add(p.number(), p.content())) {
                serveIfWhole(a);
            } else {
                links.drop(l, Links.MALFORMED + "page " + p.number() + " of " + a.pageCount());
            }
        } else if (news instanceof EngineMessage.Full f && !a.done()) { // said after DONE it proves nothing
            a.load = f.load();
            l.answered.add(a.txn());
            end(a, Outcome.FULL);
        } else if (news instanceof EngineMessage.Expired p && !a.done()) {
            a.load = p.load();
            l.answered.add(a.txn());
            end(a, Outcome.MOOT);
        } else if (news instanceof EngineMessage.Failed b) {
            a.load = b.load().isEmpty() ? a.load : b.load();
            if (a.done()) {
                turn.effect(new Effect.Release(l.id, news.id()));
            }
            l.answered.add(a.txn());
            fail(a); // also where a page is lost: the query ran
        }
    }

    /**
     * An error of an attempt. On a link where the request was given up before, it may be that one's, crossing
     * its cancel, and then this attempt still runs: it is cancelled too before another goes out.
     */
    void fail(Attempt a) {
        if (a.follows()) {
            cancel(a, Outcome.ERROR);
        } else {
            end(a, Outcome.ERROR);
        }
    }

    void cancel(Attempt a, Outcome as) {
        a.givenUp = as;
        a.link.abandoned.add(a.txn());
        turn.timer(new TimerKey.CancelTimeout(a.key), CANCEL);
        turn.effect(new Effect.Cancel(a.link.id, a.key, a.txn()));
    }

    void done(Attempt a, EngineMessage.Done d) {
        if (a.done() || a.givenUp != null && d.pageCount() > 1) {
            return; // said twice; or given up meanwhile, and its further pages with it
        }
        a.load = d.load();
        a.begin(d.pageCount(), d.firstPage());
        for (int p = 1; p < d.pageCount(); p++) {
            turn.effect(new Effect.ReadPage(a.link.id, d.id(), p));
        }
        serveIfWhole(a);
    }

    void serveIfWhole(Attempt a) {
        if (!a.whole()) {
            return;
        }
        if (a.pageCount() > 1) {
            turn.effect(new Effect.Release(a.link.id, a.txn()));
        }
        byte[] result = a.result();
        if (result.length > MOST_BYTES) {
            fail(a);
            return;
        }
        if (a.follows()) { // it may be the answer to the one given up
            turn.effect(new Effect.Cancel(a.link.id, a.key, a.txn()));
        }
        requests.answer(a.request, new Reply.Served(result));
        end(a, Outcome.OK);
    }
}
