/**
 * Mechanisms that keep requests from outdated versions of their adapters, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const VERSION_SWITCHES: readonly switches.Switch[] = [
  {
    name: "versions: a request is sent on a usable version alone",
    file: "serving/send-checks.js",
    find: "if ((version ?? 0) < this.deps.versions.oldestUsable(req, p.serviceMs))",
    put: "if (false)",
    proof: "is not sent, whatever its endpoint daemon granted",
  },
  {
    name: "versions: a request without a seat names its version",
    file: "serving/seat-finder.js",
    find: "return choice.heldVersion(view, key) ?? this.deps.versions.declaredFor(a)?.version;",
    put: "return undefined;",
    proof: "names the version of the engine where its daemon is away",
  },
  {
    name: "versions: an engine with an outdated version is not chosen while its daemon is away",
    file: "serving/choice.js",
    find: "(heldVersion(v, key) ?? Infinity) < oldestVersion",
    put: "false",
    proof: "is not usable with an outdated version while its daemon is away",
  },
  {
    name: "versions: the sending host says for how long an older version may be used",
    file: "serving/residency.js",
    find: "if ((w.version ?? 0) < newest.version)",
    put: "if (true)",
    proof:
      "grants no seat on an outdated version to a host that will not send on it, however late the daemon heard",
  },
  {
    name: "versions: a request that does not begin in time is broken off",
    file: "serving/sending.js",
    find: "this.watchBegin(send);",
    put: "",
    proof: "is broken off if nothing but the head and a comment has come in time",
  },
  {
    name: "versions: the last answer without a version bounds its age",
    file: "serving/feed.js",
    find: "notBefore: this.upToDateAt - watchPace.SILENT_WATCH_MS",
    put: "notBefore: this.deps.clock.mono()",
    proof: "dates a declared version by the last answer that did not have it",
  },
];
