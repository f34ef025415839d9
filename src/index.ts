/**
 * The public surface of the library: the daemons, the intent and its operations, the decisions, and
 * the ports to the platform. Everything else may change without notice.
 * @module
 */
export * as clock from "./host/clock.js";
export * as objects from "./contract/objects.js";
export * as intent from "./contract/intent.js";
export * as selector from "./contract/selector.js";
export * as limits from "./contract/limits.js";
export * as ring from "./contract/ring.js";
export * as outcome from "./request/outcome.js";
export * as trail from "./request/trail.js";
export * as entry from "./entry/daemon.js";
export * as route from "./entry/route.js";
export * as view from "./entry/view.js";
export * as endpoint from "./endpoint/daemon.js";
export * as plan from "./endpoint/plan.js";
export * as slot from "./endpoint/slot.js";
export * as popularity from "./endpoint/popularity.js";
export * as turns from "./endpoint/turns.js";
export * as engine from "./endpoint/engine.js";
export * as store from "./store/store.js";
export * as hosts from "./store/hosts.js";
export * as change from "./operator/change.js";
export * as files from "./operator/files.js";
