/**
 * Mechanisms that keep a stream to the software version that began it, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const CONTINUATION_SWITCHES: readonly switches.Switch[] = [
  {
    name: "continuation: a stream is resumed only at its version",
    file: "serving/versions/software-versions.js",
    find: "return (software) => software === origin.software;",
    put: "return undefined;",
    proof: "that breaks is resumed only at the version that began it",
  },
  {
    name: "soak, continuation: a stream is resumed only at its version",
    file: "serving/versions/software-versions.js",
    find: "return (software) => software === origin.software;",
    put: "return undefined;",
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
    name: "continuation: an origin is inferred only by a register that is as new as the store",
    file: "serving/continuation/origin-register.js",
    find: "const r = await this.readFresh();",
    put: "const r = this.current;",
    proof: "are not taken for the only version known here while another host uses a second one",
  },
  {
    name: "continuation: an origin is inferred only by a register that lacks nothing",
    file: "serving/continuation/register.js",
    find: "if (r.completeIn !== era)",
    put: "if (false)",
    proof: "are not taken for the only version of an older register while the store is restored",
  },
  {
    name: "continuation: streams begin only at origins that the register lists",
    file: "serving/continuation/origin-register.js",
    find: "return register.lists(this.current, o) || register.lists(this.lost, o);",
    put: "return true;",
    proof: "are listed before streams begin at them",
  },
  {
    name: "continuation: unused origins are dropped from the register",
    file: "serving/continuation/origin-register.js",
    find: "isUsed: (row) => watchedMs < unusedMs || this.usage.isUsed(row, unusedMs)",
    put: "isUsed: () => true",
    proof: "are dropped once no stream that has them can go on",
  },
  {
    name: "continuation: an origin counts as used when it is found to be listed",
    file: "serving/continuation/origin-register.js",
    find: "this.usage.list(current);",
    put: "",
    proof: "are not forgotten by a host that was cut off while a version came and went",
  },
  {
    name: "continuation: the register is taken in before it is written",
    file: "serving/continuation/origin-register.js",
    find: "this.adopt(stored, was.position);",
    put: ";",
    proof: "stay listed when a host whose watch is late drops another version",
  },
  {
    name: "continuation: what was watched before a restore does not make the register complete",
    file: "serving/continuation/origin-register.js",
    find: "Math.min(watchedMs, eraMs)",
    put: "watchedMs",
    proof:
      "are not taken for the only version known to a host that was cut off before the store was restored",
  },
  {
    name: "continuation: open streams of several origins are logged in the store",
    file: "serving/continuation/origins.js",
    find: "this.deps.streamLog.add(attempt, s.origin, !s.hasEnded);",
    put: "",
    proof: "are known after their host was killed and each keeper restarted",
  },
  {
    name: "continuation: streams are reported when the catalog gets old",
    file: "serving/continuation/origins.js",
    find: "this.deps.catalogAgeMs() <= MAX_CATALOG_AGE_MS",
    put: "true",
    proof: "are known of streams that were open when the store went away",
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
    proof: "are known of a stream that its host had not logged, after its keepers restarted",
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
