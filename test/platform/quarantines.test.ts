import * as chai from "chai";
import * as child from "node:child_process";
import * as path from "node:path";
import * as stores from "../../bench/platform/store.js";
import * as quarantine from "../../src/serving/quarantine.js";

const { expect } = chai;

const PROGRAM = path.join(import.meta.dirname, "../../platform/quarantine.js");
const IDENTITY = "abcdefghijklmnopqrst_-";

describe("the quarantine command", () => {
  const store = new stores.Store();

  function run(...args: readonly string[]) {
    return new Promise<{ readonly code: number; readonly text: string }>((resolve) => {
      const all = [PROGRAM, ...args, "--store", store.address];
      child.execFile(process.execPath, all, (err, stdout, stderr) => {
        const code = typeof err?.code === "number" ? err.code : 0;
        resolve({ code, text: stdout + stderr });
      });
    });
  }

  before(() => store.start());

  after(() => {
    store.stop();
  });

  it("marks, lists and releases one", async () => {
    expect((await run("mark", IDENTITY)).code).equal(0);
    expect(store.items.has(quarantine.keyOf(IDENTITY))).equal(true);
    expect((await run("list")).text).match(new RegExp(`^${IDENTITY} +20\\d\\d-`, "m"));
    expect((await run("release", IDENTITY)).code).equal(0);
    expect(store.items.size).equal(0);
  });

  it("marks, lists and releases all requests that hold some prompt parts", async () => {
    const marked = await run("mark-parts", "5c1e07a2", "91bd3f06");
    expect(marked.code).equal(0);
    const identity = marked.text.trim();
    expect((await run("list")).text).match(new RegExp(`^${identity} .* 5c1e07a2 91bd3f06`, "m"));
    expect((await run("release", identity)).code).equal(0);
    expect(store.items.size).equal(0);
  });

  it("lists the workers that crashed, and keys with other values", async () => {
    const at = new Date(0);
    store.put(quarantine.keyOf(IDENTITY), { workers: ["i-1", "i-2"], at });
    store.put(quarantine.keyOf("strange"), []);
    const { text } = await run("list");
    expect(text).include("1970-01-01T00:00:00.000Z").include("i-1 i-2").include("strange");
  });

  it("exits with the code for wrong usage on invalid arguments", async () => {
    for (const args of [
      [],
      ["drop", IDENTITY],
      ["release", "short"],
      ["mark"],
      ["list", "--odd"],
      ["mark-parts"],
      ["mark-parts", "x".repeat(65)],
    ]) {
      expect((await run(...args)).code, args.join(" ")).equal(2);
    }
  });

  it("reports that the store does not answer", async () => {
    store.faults.mode = "busy";
    const { code, text } = await run("list");
    store.faults.mode = "well";
    expect(code).equal(1);
    expect(text).include("503");
  });
});
