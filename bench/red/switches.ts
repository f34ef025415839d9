/**
 * The mechanisms that proofs rest on, each with the edit that switches it off.
 * @module
 */

/** One mechanism switched off, and the scenario that must fail then. */
export interface Switch {
  /** The mechanism. */
  readonly name: string;
  /** Compiled file, below `target/src`. */
  readonly file: string;
  /** Text that stands there once, and what replaces it. */
  readonly find: string;
  readonly put: string;
  /** Title of the scenario or test that proves the mechanism; for the soak, what it must find. */
  readonly proof: string;
  /** The proof is a run of the soak instead of a test. */
  readonly bySoak?: true;
}

export const SWITCHES: readonly Switch[] = [
  {
    name: "the answer's model is checked",
    file: "endpoint/answer.js",
    find: "if (fields.model !== e.name)",
    put: "if (false)",
    proof: "an engine answers for another model",
  },
  {
    name: "the answer's id is checked",
    file: "endpoint/answer.js",
    find: 'typeof fields.id !== "string" || !fields.id.includes(e.id)',
    put: "false",
    proof: "an engine answers with another request's id",
  },
  {
    name: "the version is fixed at acceptance",
    file: "endpoint/gate.js",
    find: "? `${work.adapter}@${work.version}`",
    put: "? `${work.adapter}@1`",
    proof: "a version is replaced while requests run",
  },
  {
    name: "an adapter missing on the engine is loaded again",
    file: "endpoint/server.js",
    find: "seatRef.seat = await seat.again();",
    put: "break;",
    proof: "an engine comes back cold between requests",
  },
  {
    name: "pins keep adapters in use",
    file: "endpoint/slot.js",
    find: "pins: slot.pins + 1",
    put: "pins: slot.pins",
    proof: "another adapter is wanted by an engine of one slot",
  },
  {
    name: "the place of a cancelled attempt is kept until the engine's counts show it gone",
    file: "endpoint/adapter-manager.js",
    find: "if (this.deps.engine)\n            this.cancelledAt.set(id, this.deps.clock.mono());\n        else\n            this.gate.releaseSeat(id);",
    put: "this.gate.releaseSeat(id);",
    proof: "a caller goes away, and the engine goes on for a while",
  },
  {
    name: "a name is never used twice on an engine",
    file: "endpoint/adapter-manager.js",
    find: "${EPOCH_SEPARATOR}${this.opts.epoch}.${this.nameCount}`",
    put: "${EPOCH_SEPARATOR}${this.opts.epoch}.0`",
    proof: "an unload takes effect late, after its reply was lost",
  },
  {
    name: "a daemon without the hold on its engine takes no work",
    file: "store/lease.js",
    find: 'this.stateMachine.send({ type: "takenByOther" });',
    put: "",
    proof: "a second endpoint daemon is started on an engine that ignores fencing numbers",
  },
  {
    name: "orders carry the fencing number",
    file: "store/lease.js",
    find: "this.lastFencingNumber = result.revision;",
    put: "this.lastFencingNumber = 1;",
    proof: "the holder pauses, and orders with its old number afterwards",
  },
  {
    name: "names of a holder that did not hand over are not used",
    file: "store/lease.js",
    find: "return record.handedOver ?",
    put: "return true ?",
    proof: "a daemon is killed, and its successor finds its adapters",
  },
  {
    name: "a stream without its end mark is cut",
    file: "endpoint/answer.js",
    find: "throw linkBroken(e, `The engine's stream broke off",
    put: "return; throw linkBroken(e, `The engine's stream broke off",
    proof: "a stream breaks in the middle",
  },
  {
    name: "an answer cut on the link between daemons is cut for its caller",
    file: "entry/server.js",
    find: "() => res.destroy());",
    put: "() => res.end());",
    proof: "the endpoint daemon is killed in the middle of a stream",
  },
  {
    name: "a repeatable request is tried elsewhere before its first byte",
    file: "request/trail.js",
    find: "c.repeatable || c.doubts === 0",
    put: "c.doubts === 0",
    proof: "the endpoint daemon is killed before the first byte",
  },
  {
    name: "a broken attempt leaves a doubt",
    file: "request/trail.js",
    find: "({ context: c }) => c.doubts + 1",
    put: "({ context: c }) => c.doubts",
    proof: "the endpoint daemon dies between acceptance and dispatch",
  },
  {
    name: "an attempt given up is refused when it arrives",
    file: "endpoint/attempt-register.js",
    find: 'this.stages.set(id, "given_up");',
    put: "",
    proof: "a request that is given up arrives late",
  },
  {
    name: "an attempt is not dispatched after its deadline",
    file: "endpoint/plan.js",
    find: "s.waiting.filter((w) => w.dueAt <= now)",
    put: "[]",
    proof: "the deadline passes while the adapter is loaded",
  },
  {
    name: "the queue is bounded",
    file: "endpoint/plan.js",
    find: "s.waiting.length >= s.opts.queue",
    put: "false",
    proof: "more than the site can hold",
  },
  {
    name: "an idempotency key is claimed in the store",
    file: "entry/server.js",
    find: "if (key !== undefined)\n",
    put: "if (false)\n",
    proof: "the same key through two entry hosts at once",
  },
  {
    name: "a request not to be repeated is sent once after a doubt",
    file: "request/trail.js",
    find: "c.repeatable || c.doubts === 0",
    put: "true",
    proof: "the endpoint daemon is killed in the middle",
  },
  {
    name: "calls to a service that may not be repeated are not",
    file: "entry/server.js",
    find: "a.headers.repeatable && target.spec.repeatable.includes(method)",
    put: "true",
    proof: "the service's reply is lost",
  },
  {
    name: "a claim whose reply was lost is asked for again",
    file: "request/claims.js",
    find: "return this.createOnce(batch);\n        }\n    }",
    put: "throw err;\n        }\n    }",
    proof: "the store loses the reply to a claim",
  },
  {
    name: "without the store, nothing with a key runs",
    file: "request/claims.js",
    find: "p.reject(unprovedError(err));",
    put: "p.resolve();",
    proof: "the store is down",
  },
  {
    name: "a claim is given back when its request did not run",
    file: "entry/server.js",
    find: 'if (claim && f.outcome === "not_run")',
    put: "if (false)",
    proof: "a request that did not run can be sent again with its key",
  },
  {
    name: "a leaving daemon refuses work and says so",
    file: "endpoint/gate.js",
    find: 'this.lifecycle.send({ type: "drain" });',
    put: "",
    proof: "the daemon is told to stop while the list of hosts lags",
  },
  {
    name: "entry daemons heed the list of hosts",
    file: "entry/view.js",
    find: "if (v.leaving)",
    put: "if (false)",
    proof: "the list of hosts says so",
  },
  {
    name: "the drain label keeps work away",
    file: "contract/intent.js",
    find: 'return labelsOf(intent, e)[DRAIN_LABEL] === "true";',
    put: "return false;",
    proof: "an operator drains it",
  },
  {
    name: "a stopping endpoint daemon waits for what runs",
    file: "endpoint/daemon.js",
    find: "await Promise.all([current?.gate.quiet(), clock.sleep(clk, cfg.drainMs)]);",
    put: "link.closeAllConnections();",
    proof: "an endpoint daemon stops while it streams",
  },
  {
    name: "a stopping entry daemon waits for what runs",
    file: "entry/daemon.js",
    find: "await daemon.closeServer(callerServer, clk);",
    put: "callerServer.closeAllConnections();",
    proof: "an entry daemon stops while it streams",
  },
  {
    name: "a stopping endpoint daemon hands back what waits",
    file: "endpoint/gate.js",
    find: 'this.withdrawAll("leaving", "The endpoint is draining.");',
    put: "",
    proof: "an endpoint daemon stops with work in its queue",
  },
  {
    name: "daemons pass changes on to each other",
    file: "host/intent-feed.js",
    find: "if (changes.length > 0)\n            this.notifyPeers(previousRevision);",
    put: "",
    proof: "a change reaches peers at once",
  },
  {
    name: "daemons ask each other for what they lack",
    file: "host/intent-feed.js",
    find: "this.learn(await this.deps.peer(m).changesAfter.query({ revision: this.current.revision }));",
    put: "",
    proof: "a daemon starts while the store is down",
  },
  {
    name: "an operator's lost reply is settled by reading",
    file: "store/journal.js",
    find: 'return checkAppended(st, change).catch(() => ({ kind: "unknown", why: err.message }));',
    put: 'return { kind: "unknown", why: err.message };',
    proof: "the store loses the reply to the change",
  },
  {
    name: "a change is compared with the head it follows",
    file: "store/journal.js",
    find: "compares: [{ key: HEAD_KEY, revision }],\n            puts: [\n                { key: HEAD_KEY",
    put: "compares: [],\n            puts: [\n                { key: HEAD_KEY",
    proof: "two operators change the same object at once",
  },
  {
    name: "older intent is never put in force",
    file: "host/intent-feed.js",
    find: "if (head.revision < previous.revision) {",
    put: "if (head.revision < previous.revision) { this.current = { revision: 0, id: '', objects: new Map() }; return this.catchUp();",
    proof: "the store is restored from a backup",
  },
  {
    name: "bytes that are no request get an error of the usual shape",
    file: "entry/server.js",
    find: 'server.on("clientError", body.sendUnreadableRequest);',
    put: "",
    proof: "refuse headers that could smuggle another request",
  },
  {
    name: "a repeatable request that an engine spoiled is tried elsewhere",
    file: "entry/job.js",
    find: 'if (!job.repeatable || result.failure.code === "engine_refused")',
    put: "if (true)",
    proof: "one engine answers for another model, and another gives the answer",
  },
  {
    name: "after a cold start, what was loaded since is kept",
    file: "endpoint/adapter-manager.js",
    find: "if (first)\n            await this.adoptAll(names, began);",
    put: "if (first || health.startedAt !== this.lastStart) { this.lastStart = health.startedAt; this.shared.state = { ...this.shared.state, slots: slot.empty(this.opts.slots) }; await this.adoptAll(names, began); }",
    proof: "an engine restarts, and loads again before its daemon has looked",
  },
  {
    name: "an attempt on its way does not stand in for a cancelled one",
    file: "endpoint/adapter-manager.js",
    find: "if (!this.cancelledAt.has(r.id) && now - r.dispatchedAt >= this.opts.countLagMs)",
    put: "if (!this.cancelledAt.has(r.id))",
    proof: "another request begins while a cancelled one still runs",
  },
  {
    name: "a silent keeper of turns is passed over",
    file: "endpoint/turn-coordinator.js",
    find: "return ask(a);",
    put: 'return { kind: "wait", askAgainMs: 20 };',
    proof: "is asked of the next keeper at once when one is silent, and not of that one again",
  },
  {
    name: "a revoked grant is gone",
    file: "contract/intent.js",
    find: "for (const key of change.deletes)",
    put: "for (const key of [])",
    proof: "a grant is revoked",
  },
  {
    name: "returns: retries are booked apart",
    file: "serving/overload/return-schedule.js",
    find: "b.at + intervalMs(s, now)",
    put: "b.at",
    proof: "are admitted after a burst of 2.5 times the capacity, and do not come together: seed 1",
  },
  {
    name: "returns: the booked time is told",
    file: "serving/ending.js",
    find: "p.booked?.inMs ??",
    put: "",
    proof: "is told a time of its own where streams must be steady",
  },
  {
    name: "returns: nothing is booked without steady streams",
    file: "serving/overload/returns.js",
    find: "config !== undefined && steady.hasSteadyStreams(config)",
    put: "config !== undefined",
    proof: "is told its estimated wait elsewhere",
  },
  {
    name: "grades: refusals are graded",
    file: "serving/admission.js",
    find: "if (draw === undefined)",
    put: "if (true)",
    proof: "halves the swing of admissions by a threshold: seed 1",
  },
  {
    name: "grades: a number is drawn where streams must be steady",
    file: "serving/seat-finder.js",
    find: "if (config && steady.hasSteadyStreams(config))",
    put: "if (false)",
    proof: "is used where streams must be steady, and only there",
  },
  {
    name: "grades: none is drawn elsewhere",
    file: "serving/seat-finder.js",
    find: "if (config && steady.hasSteadyStreams(config))",
    put: "if (true)",
    proof: "is used where streams must be steady, and only there",
  },
];
