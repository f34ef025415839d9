/**
 * Mechanisms that keep a stream to the software version that began it, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const CONTINUATION_SWITCHES: readonly switches.Switch[] = [
  {
    name: "continuation: a stream is resumed only at its version",
    file: "serving/seat-finder.js",
    find: "endpoints.views(a.service, software)",
    put: "endpoints.views(a.service)",
    proof: "that breaks is resumed only at the version that began it",
  },
  {
    name: "soak, continuation: a stream is resumed only at its version",
    file: "serving/seat-finder.js",
    find: "engineViews(a.service, software)",
    put: "engineViews(a.service)",
    proof: "software",
    bySoak: true,
  },
  {
    name: "continuation: a stream of unknown origin is not resumed",
    file: "serving/dispatch.js",
    find: "if (p.cannotResume !== undefined)",
    put: "if (false)",
    proof: "is refused at once where its origin is not known or not served any more",
  },
  {
    name: "continuation: an origin is inferred only by an up-to-date catalog",
    file: "serving/continuation/origins.js",
    find: "if (!(await this.isUpToDateBy(now, req.dueAt)))",
    put: "if (false)",
    proof: "are not taken for the only version known here while a host that is ahead knows another",
  },
  {
    name: "continuation: an origin is inferred only by who has watched long enough",
    file: "serving/continuation/origin.js",
    find: "if (!witnesses.some(",
    put: "if (false && !witnesses.some(",
    proof: "watched too short",
  },
  {
    name: "continuation: origins are reported where there may be several",
    file: "serving/continuation/origins.js",
    find: "if (!this.isOnlyOne(route))",
    put: "if (false)",
    proof: "are mostly known while hosts restart beside two versions",
  },
  {
    name: "continuation: open streams are reported when a second version appears",
    file: "serving/continuation/origins.js",
    find: "if (!unambiguous.has(s.route))",
    put: "if (false)",
    proof: "are known of streams that had begun when a second version appeared",
  },
  {
    name: "continuation: keepers that start again are told again",
    file: "serving/continuation/origins.js",
    find: ".filter(([, s]) => s.isReported)",
    put: ".filter(() => false)",
    proof: "are known after all keepers have started again",
  },
  {
    name: "continuation: a seat counts only for the start that gave it",
    file: "serving/seat-finder.js",
    find: "if (!incarnation.mayBeSame(answer.instance, endpoint.id))",
    put: "if (false)",
    proof: "sends nothing to a worker whose seat another start gave",
  },
  {
    name: "continuation: other software under the same id is another worker",
    file: "serving/catalog.js",
    find: "softwareOf(current) === softwareOf(e)",
    put: "true",
    proof: "does not use a worker that is registered under the same id with other software",
  },
];
