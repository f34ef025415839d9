/**
 * Mechanisms that spread requests over uneven engines, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const SPREAD_SWITCHES: readonly switches.Switch[] = [
  {
    name: "spread: crowding costs as much as copies of the adapter",
    file: "serving/spread/crowding.js",
    find: "return copyMs * (COPIES_TO_FULL * within + rise ** 2 + COPIES_BEYOND_FULL * beyond);",
    put: "return 0;",
    proof:
      "gives a hot adapter a second engine before its queue is long, and not before half of the room is used",
  },
  {
    name: "spread: engines that have the adapter share its requests",
    file: "serving/spread/crowding.js",
    find: "const COPIES_TO_FULL = 2;",
    put: "const COPIES_TO_FULL = 0;",
    proof: "are spread by speed without many copies (seed 1)",
  },
  {
    name: "spread: an adapter that no engine has goes to the first engine that is not crowded",
    file: "serving/spread/crowding.js",
    find: "if (!hasHolder)",
    put: "if (false)",
    proof: "gives an adapter that no engine has to the same engine whatever the age of the states",
  },
  {
    name: "spread: requests since the last state add to an engine's crowding",
    file: "serving/spread/crowding.js",
    find: "return Math.max(0, readMs) / (MAX_READING_SHARE * PERIOD_MS);",
    put: "return 0;",
    proof: "counts the requests that this host sent since the state was received",
  },
  {
    name: "spread: more engines are compared while the best is crowded",
    file: "serving/search.js",
    find: " && !crowding.isCrowded(best.crowding)",
    put: "",
    proof: "leads to more engines being compared, as many of 300 as of 30",
  },
  {
    name: "spread: engines that announce no crowding are ranked without it",
    file: "serving/spread/crowding.js",
    find: "count === 0 ? undefined",
    put: "count === 0 ? { crowding: 0.9, coldMs: 250 }",
    proof: "changes nothing where no engine announces it",
  },
  {
    name: "spread: the speed of an engine without a seat becomes that of the others",
    file: "serving/spread/idle-speed.js",
    find: "2 ** (-idleMs / HALF_LIFE_MS)",
    put: "1",
    proof:
      "does not let an estimate that is out of date keep requests away, or draw them, for ever",
  },
  {
    name: "spread: the cost of crowding is the same whatever loads take on an engine",
    file: "serving/choice.js",
    find: "(COPY_PENALTY_LOADS + 1) * means.coldMs",
    put: "(COPY_PENALTY_LOADS + 1) * state.coldMs",
    proof: "costs the same on an engine whose loads are slow",
  },
  {
    name: "spread: an open seat ends the time without one",
    file: "serving/link.js",
    find: "if (m.seats > 0 || !isSameEngine)",
    put: "if (!isSameEngine)",
    proof: "knows since when no seat was open on the engine",
  },
];
