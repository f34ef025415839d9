/**
 * Mechanisms for a store that is restored from a backup, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const STORE_SWITCHES: readonly switches.Switch[] = [
  {
    name: "store: a position in a later era is later, whatever the revisions",
    file: "store/position.js",
    find: "this.era === other.era ? this.revision > other.revision : this.era > other.era",
    put: "this.revision > other.revision",
    proof: "delays no new route, the last revision being passed at once",
  },
  {
    name: "store: a new era has a snapshot read",
    file: "serving/feed.js",
    find: "if (this.era === undefined || era === this.era)",
    put: "if (true)",
    proof: "holds what the store holds once all is written again, and never goes back",
  },
  {
    name: "store: the watch is called more often after a restore",
    file: "serving/feed.js",
    find: "now - this.restoredAt < pace.catchUpMs ? pace.catchUpIntervalMs : pace.minIntervalMs",
    put: "pace.minIntervalMs",
    proof: "puts a lost change in force in time that is written again, whenever it was made",
  },
  {
    name: "store: an answer of an era that is over is refused",
    file: "store/era.js",
    find: "if (era < this.seen)",
    put: "if (false)",
    proof: "is refused once a later one has been stated, also if it is missing",
  },
  {
    name: "store: pages of two eras are no snapshot",
    file: "../platform/store.js",
    find: "if (start && start.era !== at.era)",
    put: "if (false)",
    proof: "is not read as one snapshot if it is restored between two pages",
  },
  {
    name: "store: orders are fenced by era and revision",
    file: "store/position.js",
    find: "this.era * REVISIONS_PER_ERA + this.revision",
    put: "this.revision",
    proof: "loads adapters at lower revisions too, once the store has been restored from a backup",
  },
  {
    name: "store: an incarnation that leaves stays so",
    file: "serving/catalog.js",
    find: "current?.id === c.endpoint.id && current.leaving",
    put: "false",
    proof: "keeps a worker out of use that had said that it leaves, though its older entry is back",
  },
  {
    name: "store: an incarnation that has left does not come back",
    file: "serving/catalog.js",
    find: "departed.has(c.endpoint.id) ||",
    put: "",
    proof: "keeps it out of use if it was missing from the backup and registers again as ready",
  },
  {
    name: "store: an endpoint that is missing from the backup is kept",
    file: "serving/entry-grace.js",
    find: 'return how === "absent" ? REREGISTER_MS : keepDeletedMs;',
    put: "return keepDeletedMs;",
    proof: "keeps a worker in use that registered after the backup, until it registers again",
  },
  {
    name: "store: a deleted document that is back is withheld",
    file: "serving/entry-grace.js",
    find: "if (!this.deletedKeys.has(key))",
    put: "if (true)",
    proof:
      "keeps a worker out of use whose entry was deleted after the backup, until it is deleted again",
  },
  {
    name: "store: a lost quarantine stays in force",
    file: "serving/feed.js",
    find: "return this.lostQuarantine.has(identity);",
    put: "return false;",
    proof: "stays in force and is written again, with few calls, by 4 hosts",
  },
  {
    name: "store: a lost quarantine is written again",
    file: "serving/quarantine-restorer.js",
    find: "void this.write(identity);",
    put: ";",
    proof: "stays in force and is written again, with few calls, by 4 hosts",
  },
  {
    name: "store: hosts spread the writes of a lost quarantine",
    file: "serving/quarantine-restorer.js",
    find: "spreadMs * this.deps.random()",
    put: "0",
    proof: "stays in force and is written again, with few calls, by 360 hosts",
  },
  {
    name: "store: no turn is claimed while lost ones may be held",
    file: "serving/model-turns.js",
    find: "heldForMs <= 0 &&",
    put: "",
    proof: "is not claimed while turns may be held that the store has lost",
  },
  {
    name: "store: prefixes are watched by themselves while changes of no interest are many",
    file: "serving/watching/watch-scope.js",
    find: "unused * MS_PER_S > MAX_UNUSED_BYTES_PER_S * ms",
    put: "false",
    proof:
      "is the common prefix until changes of no interest are many, and then each prefix for a while",
  },
];
