/** Steps in which an operator changes the intent, and checks of the intent in force at the daemons. */
import * as chai from "chai";
import * as intents from "../../src/contract/intent.js";
import type * as objects from "../../src/contract/objects.js";
import * as change from "../../src/operator/change.js";
import type * as outcome from "../../src/request/outcome.js";
import * as site from "../../bench/site.js";
import * as world from "./world.js";

const { expect } = chai;

function adapter(w: world.World, name: string, current: string): objects.Obj {
  return site.adapter(name, w.site.weights.url, ["1", "2"], current);
}

function newestIntent(w: world.World): intents.Intent {
  const all = [...w.site.entries, ...w.site.endpoints].map((d) => d.parts.feed.intent());
  return all.reduce((a, b) => (b.revision > a.revision ? b : a));
}

async function apply(w: world.World, puts: readonly objects.Obj[], waitMs = 3000): Promise<void> {
  const wish = { puts, deletes: [] };
  w.notes.set("applied", await change.apply(wish, w.site.operator(waitMs)));
}

function applied(w: world.World): change.Applied {
  return w.notes.get("applied") as change.Applied;
}

world.step("an operator makes {word} the current version of {word}", (w, v: string, name: string) =>
  apply(w, [adapter(w, name, v)]),
);

world.step("an operator drains endpoint {int}", async (w, n: number) => {
  const found = intents.find(newestIntent(w), "Endpoint", `engine-${n - 1}`);
  if (!found) throw new Error(`there is no endpoint ${n}`);
  const labels = { ...found.metadata.labels, [intents.DRAIN_LABEL]: "true" };
  await apply(w, [{ ...found, metadata: { ...found.metadata, labels } }]);
});

world.step("an operator revokes the grant {word}", async (w, name: string) => {
  const wish = { puts: [], deletes: [`Grant/${name}`] };
  w.notes.set("applied", await change.apply(wish, w.site.operator()));
});

world.step("an operator declares {int} adapters at once", (w, n: number) =>
  apply(
    w,
    Array.from({ length: n }, (_, i) => adapter(w, `bulk-${i}`, "1")),
  ),
);

world.step("two operators change {word} at once", async (w, name: string) => {
  const done = await Promise.all(
    ["1", "2"].map((v) => {
      const labels = { by: `operator-${v}` };
      const one = site.adapter(name, w.site.weights.url, ["1", "2"], "2", labels);
      return change.apply({ puts: [one], deletes: [] }, w.site.operator(3000, `operator-${v}`));
    }),
  );
  w.notes.set("both", done);
});

world.step("two operators declare different adapters at once", async (w) => {
  const done = await Promise.all(
    ["left", "right"].map((name) =>
      change.apply({ puts: [adapter(w, name, "1")], deletes: [] }, w.site.operator()),
    ),
  );
  w.notes.set("both", done);
});

world.step("both are in force", (w) => {
  const kinds = (w.notes.get("both") as readonly change.Applied[]).map((a) => a.kind);
  expect(kinds).eql(["in_force", "in_force"]);
});

world.step("one is in force, and the other is shown both versions", (w) => {
  const both = w.notes.get("both") as readonly change.Applied[];
  expect(both.map((a) => a.kind).sort()).eql(["in_force", "refused"]);
  const refused = both.find((a) => a.kind === "refused");
  const labels = refused?.differences.map((d) => [
    d.now?.metadata.labels.by,
    d.wished?.metadata.labels.by,
  ]);
  expect(labels?.[0]?.[0]).not.equal(labels?.[0]?.[1]);
});

world.step("the operator is told that it is in force everywhere", (w) => {
  expect(applied(w).kind, JSON.stringify(applied(w))).equal("in_force");
});

world.step(
  "the operator is told that it is in force everywhere within {int} ms",
  (w, ms: number) => {
    const done = applied(w);
    expect(done.kind, JSON.stringify(done)).equal("in_force");
    if (done.kind === "in_force") expect(done.ms).below(ms);
  },
);

world.step("the operator is told that the store is behind", (w) => {
  expect(applied(w).kind).equal("store_behind");
});

world.step("no change can be applied, since the hosts cannot be listed", async (w) => {
  const wish = { puts: [adapter(w, "notes", "2")], deletes: [] };
  const failure = await change.apply(wish, w.site.operator()).then(
    (done) => done.kind,
    (err: unknown) => (err as outcome.StepError).failure.step,
  );
  expect(failure).equal("hosts");
});

world.step("the operator restores the store", async (w) => {
  await change.restore(w.site.operator());
});

world.step("{word} is at version {word} at every daemon", async (w, name: string, v: string) => {
  await site.until(() =>
    [...w.site.entries, ...w.site.endpoints].every(
      (d) => intents.find(d.parts.feed.intent(), "Adapter", name)?.spec.current === v,
    ),
  );
});

world.step("no daemon has gone back", (w) => {
  const before = Number(w.notes.get("revision"));
  for (const d of [...w.site.entries, ...w.site.endpoints]) {
    expect(d.parts.feed.intent().revision).least(before);
  }
});

world.step("the revision in force is noted", (w) => {
  w.notes.set("revision", newestIntent(w).revision);
});

world.step(
  "only endpoint daemon {int} hears of {word} at version {word}",
  (w, n: number, name: string, v: string) => {
    const base = newestIntent(w);
    const feed = w.site.endpoints[n - 1]?.parts.feed;
    feed?.learn({
      kind: "changes",
      changes: [
        {
          revision: base.revision + 1,
          previous: base.id,
          id: "by-hand",
          by: "operator",
          at: new Date().toISOString(),
          puts: [adapter(w, name, v)],
          deletes: [],
        },
      ],
    });
  },
);

world.step("endpoint daemon {int} has the intent", (w, n: number) =>
  site.until(() => (w.site.endpoints[n - 1]?.parts.feed.intent().revision ?? 0) > 0),
);
