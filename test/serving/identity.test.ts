import * as chai from "chai";
import * as identity from "../../src/serving/identity.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const META = fixtures.request().meta;
const TARGET = { model: "m", adapter: "a" };

/** Changes that make a request a different one. */
const OTHERS = [
  { method: "PUT" },
  { path: "/c/y" },
  { path: "/c/x?page=2" },
  { body: Buffer.from("Body") },
  { meta: { ...META, target: { model: "m" } } },
  { meta: { ...META, target: TARGET } },
  { meta: { ...META, target: { ...TARGET, adapter: "b" } } },
  { route: { ...fixtures.ROUTE, host: "b.example" } },
];

describe("a request's identity", () => {
  it("is the same for each attempt of a caller, whatever its time left and resume event", () => {
    const first = identity.of(fixtures.request());
    const meta = { ...META, id: "r2", waitMs: 1, resumeAfter: "7" };
    const headers = { "test-id": "r2", "user-agent": "other" };
    expect(identity.of(fixtures.request({ meta, headers, dueAt: 1 }))).equal(first);
    expect(first).match(/^[\w-]{22}$/);
  });

  it("differs with what is asked for", () => {
    const all = OTHERS.map((o) => identity.of(fixtures.request(o)));
    expect(new Set([...all, identity.of(fixtures.request())]).size).equal(OTHERS.length + 1);
  });

  it("differs when characters move from one part to the next", () => {
    const [a, b] = [
      fixtures.request({ path: "/c/x", body: Buffer.from("1body") }),
      fixtures.request({ path: "/c/x1", body: Buffer.from("body") }),
    ];
    expect(identity.of(a)).not.equal(identity.of(b));
  });
});
