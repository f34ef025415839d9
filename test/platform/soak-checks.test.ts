import * as chai from "chai";
import * as journals from "../../bench/platform/journal.js";
import type * as disturbances from "../../bench/soak/disturbances.js";
import * as history from "../../bench/soak/history.js";
import * as teams from "../../bench/soak/teams.js";

const { expect } = chai;

const SENT_AT = 20_000;
const BEGAN_AT = 20_100;
/** A time at which a run that began at {@link BEGAN_AT} on the version before is too late. */
const DECLARED_AT = 15_000;
const WAIT_MS = 9000;

describe("the soak's checks", () => {
  const stream: history.RequestRecord = {
    id: "r1",
    kind: "stream",
    entry: "entry-0",
    path: "/s/",
    adapter: "a1",
    key: "k-news-1",
    parts: [],
    body: "",
    waitMs: WAIT_MS,
    sentAt: SENT_AT,
    endedAt: BEGAN_AT + 100,
    end: { kind: "left" },
  };

  /** A run of one stream that began on version 1, with version 2 declared and some disturbances. */
  function violations(
    s: Partial<history.RequestRecord>,
    list: readonly disturbances.Disturbance[] = [],
    declaredAt = DECLARED_AT,
  ): readonly string[] {
    const kept = journals.createJournal();
    const seen = { ...stream, ...s };
    const at = { id: "r1", service: "llm", instance: "engine-0.1", at: BEGAN_AT };
    kept.runs.push({
      ...at,
      adapter: "a1",
      version: 1,
      software: undefined,
      leftMs: 1000,
      team: "news",
      sawKey: false,
      endedAt: seen.endedAt,
    });
    return history.violations({
      seen: [seen],
      kept,
      disturbances: [...list],
      changes: [],
      declared: [{ adapter: "a1", version: 2, at: declaredAt }],
      teams: teams.createTeams(0),
      faults: [],
    });
  }

  const during = (kind: string, on: string): disturbances.Disturbance => ({
    kind,
    on,
    from: DECLARED_AT + 100,
    to: BEGAN_AT - 100,
  });

  it("let no endpoint daemon's disturbance or reload excuse an outdated version", () => {
    const one = [/^version: r1 .* began on version 1 of a1 at engine-0.1, 5100 ms after version 2/];
    const all = [
      violations({}),
      violations({}, [during("endpoint daemon frozen", "endpoint-0")]),
      violations({}, [during("worker slow", "engine-0.1")]),
      violations({}, [during("settings changed", "entry-0")]),
    ];
    for (const found of all) {
      expect(found).length(1);
      expect(found[0]).match(one[0] ?? /$/);
    }
  });

  it("excuse an outdated version by the sender, the store or a link", () => {
    const excused = [
      during("entry daemon frozen", "entry-0"),
      during("store is busy", "store"),
      during("store out of reach of one", history.storeLink("entry-0")),
      during("link is silent", "engine-1"),
    ];
    for (const d of excused) expect(violations({}, [d])).deep.equal([]);
    expect(violations({}, [], DECLARED_AT + 200)).deep.equal([]);
  });

  it("let a daemon break off in its grace period only what was sent early and lasts to its end", () => {
    const end = { kind: "broken", text: "", why: "reset" } as const;
    const broken = (stoppedAt: number, endedAt: number): readonly string[] =>
      violations(
        { end, endedAt },
        [{ kind: "entry daemon asked to stop", on: "entry-0", from: stoppedAt, to: endedAt }],
        BEGAN_AT,
      ).map((line) => line.split(":")[0] ?? "");
    expect(broken(SENT_AT - 2300, SENT_AT + 2400)).deep.equal([]);
    expect(broken(SENT_AT - 2300, SENT_AT + 1500)).deep.equal(["broken"]);
    expect(broken(SENT_AT - 3100, SENT_AT + 1600)).deep.equal(["broken"]);
  });
});
