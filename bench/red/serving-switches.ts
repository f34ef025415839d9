/**
 * Mechanisms of routed requests, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const SERVING_SWITCHES: readonly switches.Switch[] = [
  {
    name: "an answer that names another request is not trusted",
    file: "serving/upstream.js",
    find: "if (answered !== a.meta.id && !(answered === undefined && claimsNotRun)) {",
    put: "if (false) {",
    proof: "does not trust an answer to another request",
  },
  {
    name: "a reset is told from an end of an answer without a length",
    file: "serving/upstream.js",
    find: "e.code = RESET;",
    put: "void e;",
    proof: "takes an answer without a length as cut at a later reset",
  },
  {
    name: "what may have run and must not be repeated is not sent again",
    file: "serving/dispatch.js",
    find: "if (catalog.repeatable(a.route))\n            return undefined;",
    put: "if (true)\n            return undefined;",
    proof: "never sends twice what may have run and must not be repeated",
  },
  {
    name: "the engine is told when the caller leaves",
    file: "serving/dispatch.js",
    find: 'out.gone.addEventListener("abort", stop, { once: true });',
    put: "",
    proof: "stops the endpoint when the caller leaves",
  },
  {
    name: "a place on its way in counts as taken",
    file: "serving/residency.js",
    find: "if (s.slots.size < opts.slots)",
    put: 'if ([...s.slots.values()].filter((p) => p.phase !== "loading").length < opts.slots)',
    proof: "never holds too much, gives out what is not there, or unloads what is used",
  },
  {
    name: "an older configuration changes nothing",
    file: "serving/catalog.js",
    find: "if (at.config && at.config.version >= change.config.version)",
    put: "if (false)",
    proof: "never goes back to an older configuration or version",
  },
  {
    name: "entries that lapsed during an outage are kept for a while",
    file: "serving/feed.js",
    find: 'if (step.kind !== "endpoint_gone" || !this.doubtful())',
    put: "if (true)",
    proof: "keeps endpoints for a while whose entries lapsed while the store was away",
  },
  {
    name: "the pace of states slackens with the number of entry daemons",
    file: "serving/announcer.js",
    find: "return Math.max(ROUND_MS, PACE_MS_EACH * few + PACE_MS_FURTHER * further);",
    put: "return ROUND_MS;",
    proof: "sends no more states for many entry daemons than for few",
  },
  {
    name: "what only the system may ask of an engine is dropped",
    file: "serving/headers.js",
    find: " || reserved.has(name)",
    put: "",
    proof: "drops what only the system may ask of an engine, however a caller spells it",
  },
  {
    name: "an endpoint that leaves after an outage goes in the time allowed",
    file: "serving/feed.js",
    find: "Math.min(this.deps.pace.keepMs, backInMs)",
    put: "BACK_WITHIN_MS",
    proof: "lets an endpoint go in the time allowed when it leaves soon after an outage",
  },
  {
    name: "a caller that left while the daemon was loaded is forgotten",
    file: "serving/door.js",
    find: "if (!req.socket.destroyed)",
    put: "if (true)",
    proof: "hands over who waits, but not who left while the daemon was loaded",
  },
  {
    name: "an adapter's replacement is ordered once",
    file: "serving/residency.js",
    find: "const REPLACED_WITHIN_MS = 3000;",
    put: "const REPLACED_WITHIN_MS = 60;",
    proof: "order an outdated adapter's new version once, however long its replacement takes",
  },
  {
    name: "a base model that the engine has takes no turn",
    file: "serving/keeper.js",
    find: "!this.nearby.includes(wanted.name) && ",
    put: "",
    proof: "take no turn at the weight store for a base model that the engine has itself",
  },
  {
    name: "nobody is refused for its own size",
    file: "serving/admission.js",
    find: "const waitMs = best.firstMs - best.ownMs;",
    put: "const waitMs = best.firstMs;",
    proof: "refuses nobody for its own size while there is time for it",
  },
  {
    name: "seats are given as the engine reads",
    file: "serving/residency.js",
    find: "ms <= AHEAD_MS",
    put: "true",
    proof: "serves more of both in time when seats are given as it reads (40 tokens/ms)",
  },
  {
    name: "connections to a silent endpoint are made anew",
    file: "serving/dispatch.js",
    find: "this.deps.upstream.renew(id);",
    put: "",
    proof: "uses new connections where those that stand have gone silent for good",
  },
  {
    name: "seats that a host does not use keep an engine from nobody",
    file: "serving/backlog.js",
    find: "!l.began && now - l.givenAt < UNHEARD_MS",
    put: "!l.began",
    proof: "do not keep an engine from others for good",
  },
];
