import * as chai from "chai";
import * as fc from "fast-check";
import * as intents from "../src/contract/intent.js";
import * as limits from "../src/contract/limits.js";
import * as objects from "../src/contract/objects.js";
import * as ring from "../src/contract/ring.js";
import * as selector from "../src/contract/selector.js";
import * as files from "../src/operator/files.js";
import * as site from "../bench/site.js";

const { expect } = chai;

const key = fc.constantFrom("rack", "site", "size");
const value = fc.constantFrom("a", "b", "c");
const labels = fc.dictionary(key, value);
const expression = fc.oneof(
  fc.record({
    key,
    operator: fc.constantFrom("In" as const, "NotIn" as const),
    values: fc.array(value, { minLength: 1 }),
  }),
  fc.record({ key, operator: fc.constantFrom("Exists" as const, "DoesNotExist" as const) }),
);

describe("selector", () => {
  it("matches exactly the objects that satisfy every term", () => {
    fc.assert(
      fc.property(labels, labels, fc.array(expression), (on, matchLabels, matchExpressions) => {
        const all = { matchLabels, matchExpressions };
        const terms = [
          { matchLabels },
          ...matchExpressions.map((e) => ({ matchExpressions: [e] })),
        ];
        expect(selector.matches(all, on)).equal(terms.every((t) => selector.matches(t, on)));
      }),
    );
  });

  it("satisfies exactly one of an expression and its negation", () => {
    fc.assert(
      fc.property(labels, key, fc.array(value, { minLength: 1 }), (on, k, values) => {
        const term = (operator: "In" | "NotIn") =>
          selector.matches({ matchExpressions: [{ key: k, operator, values }] }, on);
        const bare = (operator: "Exists" | "DoesNotExist") =>
          selector.matches({ matchExpressions: [{ key: k, operator }] }, on);
        expect(term("In")).not.equal(term("NotIn"));
        expect(bare("Exists")).not.equal(bare("DoesNotExist"));
      }),
    );
  });
});

function changesetAfter(base: intents.Intent, name: string, id: string): intents.Changeset {
  return {
    revision: base.revision + 1,
    previous: base.id,
    id,
    at: "2026-12-02T00:00:00Z",
    by: "operator",
    puts: [site.domain(name)],
    deletes: [],
  };
}

describe("intent", () => {
  it("accepts only the changeset of the next revision", () => {
    const first = changesetAfter(intents.EMPTY, "a", "1");
    const now = intents.step(intents.EMPTY, first);
    expect(now.revision).equal(1);
    expect(() => intents.step(now, first)).throw(RangeError, "does not follow");
    expect(() => intents.step(intents.EMPTY, { ...first, revision: 2 })).throw(RangeError);
  });

  it("rejects a changeset of another history", () => {
    const now = intents.step(intents.EMPTY, changesetAfter(intents.EMPTY, "a", "1"));
    const other = intents.step(intents.EMPTY, changesetAfter(intents.EMPTY, "b", "2"));
    expect(() => intents.step(now, changesetAfter(other, "c", "3"))).throw(
      RangeError,
      "another history",
    );
  });

  it("does not modify the intent that a changeset is applied to", () => {
    const now = intents.step(intents.EMPTY, changesetAfter(intents.EMPTY, "a", "1"));
    intents.step(now, { ...changesetAfter(now, "b", "2"), deletes: ["FailureDomain/a"] });
    expect([...now.objects.keys()]).eql(["FailureDomain/a"]);
  });

  it("resolves a model name to the current or given version, and unknown names to undefined", () => {
    const puts = [site.adapter("captions", "s", ["1", "2"], "2")];
    const now = intents.step(intents.EMPTY, { ...changesetAfter(intents.EMPTY, "a", "1"), puts });
    expect(intents.resolve(now, "captions")?.version).equal("2");
    expect(intents.resolve(now, "captions@1")?.version).equal("1");
    expect(intents.resolve(now, "captions@3")).equal(undefined);
    expect(intents.resolve(now, "notes")).equal(undefined);
  });
});

describe("limits", () => {
  it("divides the limit exactly, with at least one for each host", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 500 }),
        fc.integer({ min: 1, max: 40 }),
        (limit, hosts) => {
          let sum = 0;
          for (let i = 0; i < hosts; i++) sum += limits.share(limit, hosts, i);
          expect(sum).equal(Math.max(limit, hosts));
        },
      ),
    );
  });

  it("admits no more than the rate allows plus one bucket", () => {
    const at = { hosts: 3, index: 0 };
    const gaps = fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 200 });
    fc.assert(
      fc.property(gaps, fc.integer({ min: 1, max: 60 }), (waits, rate) => {
        let usage = limits.UNUSED;
        let now = 0;
        let admitted = 0;
        for (const ms of waits) {
          now += ms;
          const verdict = limits.enter(usage, { rate }, at, now, 1);
          if (!verdict.ok) continue;
          admitted++;
          usage = limits.exit(verdict.usage);
        }
        const share = rate / at.hosts;
        expect(admitted).most((now / 1000) * share + Math.max(1, share) + 1e-6);
      }),
    );
  });

  it("admits a refused request after the wait that it was told", () => {
    const first = limits.enter(limits.UNUSED, { rate: 1 }, { hosts: 1, index: 0 }, 0, 1);
    if (!first.ok) throw new Error("refused at once");
    const second = limits.enter(first.usage, { rate: 1 }, { hosts: 1, index: 0 }, 100, 1);
    if (second.ok) throw new Error("let in too early");
    const later = 100 + second.waitMs;
    expect(limits.enter(first.usage, { rate: 1 }, { hosts: 1, index: 0 }, later, 1).ok).equal(true);
  });
});

const places = (n: number): readonly ring.Place[] =>
  Array.from({ length: n }, (_, i) => ({ name: `e${i}`, failureDomain: `d${i % 3}` }));

describe("ring", () => {
  it("returns the requested number of endpoints without duplicates", () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 60 }), fc.string(), (n, text) => {
        const found = ring.successors(ring.build(places(n)), text, 6, 2).map((p) => p.name);
        expect(new Set(found).size).equal(Math.min(6, n));
      }),
    );
  });

  it("returns first endpoints in distinct failure domains", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        const found = ring.successors(ring.build(places(12)), text, 6, 3);
        expect(new Set(found.slice(0, 3).map((p) => p.failureDomain)).size).equal(3);
      }),
    );
  });

  it("reassigns only the keys of an endpoint that is removed", () => {
    const all = places(20);
    const before = ring.build(all);
    const after = ring.build(all.filter((p) => p.name !== "e7"));
    for (let i = 0; i < 500; i++) {
      const [was] = ring.successors(before, `a${i}`, 1, 1);
      const [is] = ring.successors(after, `a${i}`, 1, 1);
      if (was?.name !== "e7") expect(is?.name).equal(was?.name);
    }
  });
});

describe("files", () => {
  const good = "apiVersion: sumacfield/v1\nkind: Caller\nmetadata: {name: c}\nspec: {keys: []}\n";

  it("reads several objects from one text", () => {
    const found = files.parse(`${good}---\n${good.replace("name: c", "name: d")}`, "f.yaml");
    expect(found.map(objects.keyOf)).eql(["Caller/c", "Caller/d"]);
  });

  it("reports the file, the object, the field and what was expected", () => {
    const bad = good.replace("keys: []", "keys: [abc]");
    expect(() => files.parse(bad, "f.yaml")).throw(
      files.FileError,
      "f.yaml: Caller c: spec.keys.0: expected a SHA-256 in small hex digits",
    );
  });

  it("rejects the whole file when one object is invalid", () => {
    const bad = `${good}---\n${good.replace("kind: Caller", "kind: Nobody")}`;
    expect(() => files.parse(bad, "f.yaml")).throw(files.FileError);
  });

  it("rejects an object that is declared twice", () => {
    expect(() => files.parse(`${good}---\n${good}`, "f.yaml")).throw("Caller/c is declared twice");
  });
});
