import * as fs from "node:fs";
import * as path from "node:path";
import * as chai from "chai";
import * as fc from "fast-check";
import * as documents from "../../platform/documents.js";
import * as settings from "../../platform/settings.js";
import * as wire from "../../platform/wire.js";
import * as headers from "../../src/serving/headers.js";

const { expect } = chai;

const SETTINGS = `
nodeName: "entry-1"
machineClass: "edge"
ip: "10.1.0.38"
zone: "a"
listen: { front: "10.1.0.38:8149", ready: "10.1.0.38:8141" }
internalPorts: [7380, 7395]
newField: { nested: true }
bounds:
  graceS: 8
  drainTimeoutMs: 2000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 58
  contactMs: 3000
platform: { address: "10.200.1.7:8142", form: "kv" }
`;

const CONFIG = {
  version: 7,
  routes: [
    {
      name: "r",
      host: "A.Example",
      prefix: "/p/",
      kind: "streaming",
      timeoutMs: 6000,
      targetLatencyMs: 1000,
      priority: 1,
      trafficSplit: [
        { service: "llm", weight: 90 },
        { service: "other", weight: 10 },
      ],
      attempts: 2,
      resumable: true,
      targetGapMs: 400,
    },
  ],
  services: [
    {
      name: "llm",
      healthPath: "/healthz",
      maxConnections: 500,
      engine: {
        slots: 96,
        kvCapacity: 122543,
        models: [{ name: "m", weightsMb: 16100, loadTimeS: 0.6, adapters: 3000, adapterMb: 14 }],
        weightsMb: 16500,
        maxAdapters: 6,
        loadsPerS: 2.1,
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
};

describe("platform settings", () => {
  it("are decoded, and unknown fields are ignored", () => {
    const s = settings.parse(SETTINGS, "file");
    expect(s).include({ host: "entry-1", domain: "a", seatPort: 7380, graceMs: 8000 });
    expect(s.inForceMs).equal(2000);
    const sooner = SETTINGS.replace("graceS: 8", "graceS: 8\n  configApplyMs: 1500");
    expect(settings.parse(sooner, "file").inForceMs).equal(1500);
    expect(s.retries).deep.equal({ ratio: 0.2, slack: 58, windowMs: 10_000 });
    expect(s.engine).equal(undefined);
  });

  it("include the engine on hosts that have one", () => {
    const s = settings.parse(`${SETTINGS}app: "10.1.0.40:8145"\nservice: "llm"\n`, "file");
    expect(s.engine).deep.equal({ address: "10.1.0.40:8145", service: "llm" });
  });

  it("are rejected with the names of missing and invalid fields", () => {
    const bad = SETTINGS.replace('nodeName: "entry-1"', "").replace("graceS: 8", "graceS: no");
    expect(() => settings.parse(bad, "file"))
      .throw(settings.SettingsError)
      .with.property("message")
      .that.matches(/nodeName.*bounds\.graceS/);
    expect(() => settings.parse("a: [", "file")).throw(settings.SettingsError, "not YAML");
    expect(() => settings.read(undefined)).throw(settings.SettingsError);
    expect(() => settings.read("/nowhere/boot.yaml")).throw(settings.SettingsError, "/nowhere");
  });

  it("limit how long a revoked key is accepted, and are rejected if the limit is missing or too short", () => {
    const withBounds = (text: string): settings.Settings =>
      settings.parse(SETTINGS.replace("graceS: 8", `graceS: 8\n${text}`), "file");
    const strict = withBounds("  strictRevoke: true\n  revokeMs: 5000\n  quotaSlack: 17000");
    expect(strict).include({ revokedMs: 5000, capSlack: 17_000 });
    expect(withBounds("  strictRevoke: false\n  revokeMs: 5000").revokedMs).equal(undefined);
    expect(() => withBounds("  strictRevoke: true")).throw(/bounds\.revokeMs/);
    expect(() => withBounds("  strictRevoke: true\n  revokeMs: 1000")).throw(/bounds\.revokeMs/);
    expect(() => withBounds("  strictRevoke: yes please")).throw(/bounds\.strictRevoke/);
    expect(() => withBounds("  quotaSlack: -1")).throw(/bounds\.quotaSlack/);
  });

  it("limit callers' connections to three quarters of the host's descriptors", () => {
    const ofHost = (limits: string): number =>
      settings.parse(`${SETTINGS}${limits}`, "file").maxConnections;
    expect(ofHost("")).equal(3072);
    expect(ofHost("limits:\n  maxFds: 2212\n")).equal(1659);
    expect(() => ofHost("limits:\n  maxFds: -1\n")).throw(/limits\.maxFds/);
  });

  it("set the memory budget to a quarter of the host's memory, or as named, and only within its range", () => {
    const ofHost = (limits: string): number =>
      settings.parse(`${SETTINGS}${limits}`, "file").memoryBudgetBytes / 1_048_576;
    expect(ofHost("")).equal(64);
    expect(ofHost("limits:\n  memoryMb: 210\n")).equal(52.5);
    expect(ofHost("limits:\n  memoryMb: 2\n")).equal(1);
    expect(ofHost("limits:\n  memoryMb: 64000\n")).equal(1024);
    expect(() => ofHost("limits:\n  memoryMb: much\n")).throw(/limits\.memoryMb/);
    expect(settings.parseMemoryBudget("32", "BUDGET")).equal(33_554_432);
    for (const text of ["", "0.5", "1025", "many"])
      expect(() => settings.parseMemoryBudget(text, "BUDGET")).throw(/BUDGET.*1 to 1024/);
  });

  it("are rejected with a SettingsError for any other text", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        expect(() => settings.parse(text, "file")).throw(settings.SettingsError);
      }),
    );
  });
});

describe("platform documents", () => {
  it("decode to a configuration", () => {
    const step = documents.updateOf("op/config", JSON.stringify(CONFIG));
    if (step?.kind !== "config") throw new Error("no configuration");
    const [route] = step.config.routes;
    expect(route).include({ host: "a.example", kind: "stream", rank: 1, targetMs: 1000 });
    const llm = step.config.services.get("llm");
    expect(llm?.engine).deep.equal({
      slots: 6,
      loadsPerS: 2.1,
      batch: { requests: 96, cacheTokens: 122543, eventTokens: 1 },
      models: [{ name: "m", sizeMb: 16100, loadMs: 600 }],
    });
    expect(llm?.engine?.models).deep.equal([{ name: "m", sizeMb: 16100, loadMs: 600 }]);
  });

  it("decode to a worker's endpoint, and to its removal when deleted", () => {
    const entry = {
      service: "llm",
      address: "10.0.0.1:80",
      zone: "a",
      slots: 96,
      state: "draining",
    };
    const step = documents.updateOf("servers/i-1", JSON.stringify(entry));
    if (step?.kind !== "endpoint") throw new Error("no endpoint");
    expect(step.endpoint).include({ id: "i-1", domain: "a", leaving: true });
    expect(documents.deletionUpdateOf("servers/i-1")).deep.equal({
      kind: "endpoint_gone",
      worker: "i-1",
    });
    expect(documents.deletionUpdateOf("other/i-1")).equal(undefined);
  });

  it("decode to a version", () => {
    const text = JSON.stringify({ model: "m", adapter: "a7", version: 2 });
    expect(documents.updateOf("op/version/m.a7", text)).deep.equal({
      kind: "version",
      key: "m/a7",
      version: 2,
    });
  });

  it("are rejected if truncated or malformed, and ignored under other keys", () => {
    const whole = JSON.stringify(CONFIG);
    fc.assert(
      fc.property(fc.integer({ min: 0, max: whole.length - 1 }), (end) => {
        expect(() => documents.updateOf("op/config", whole.slice(0, end))).throw();
      }),
    );
    fc.assert(
      fc.property(fc.json(), (text) => {
        expect(() => documents.updateOf("servers/x", text)).throw();
        expect(documents.updateOf("sumacfield/turns/0", text)).equal(undefined);
      }),
    );
  });
});

describe("platform wire", () => {
  it("parses the headers of a request", () => {
    const meta = wire.PROTOCOL.read({
      "x-sumacfield-attempt-id": "9c41",
      "last-event-id": "12",
      "x-sumacfield-model": "m/a7",
      "x-sumacfield-token-usage": "1460,80",
      "x-sumacfield-prompt-prefix": "5c1e:800,91bd:410",
      "x-sumacfield-deadline-ms": "5000",
    });
    expect(meta).deep.equal({
      id: "9c41",
      waitMs: 5000,
      target: { model: "m", adapter: "a7" },
      promptTokens: 1460,
      answerTokens: 80,
      parts: [
        { id: "5c1e", tokens: 800 },
        { id: "91bd", tokens: 410 },
      ],
      resumeAfter: "12",
    });
  });

  it("parses any headers, or throws a RangeError", () => {
    const names = [
      "x-sumacfield-attempt-id",
      "x-sumacfield-model",
      "x-sumacfield-token-usage",
      "x-sumacfield-prompt-prefix",
      "x-sumacfield-deadline-ms",
    ];
    fc.assert(
      fc.property(fc.dictionary(fc.constantFrom(...names), fc.string()), (headers) => {
        try {
          const meta = wire.PROTOCOL.read(headers);
          expect(Number.isNaN(meta.promptTokens) || Number.isNaN(meta.waitMs)).equal(false);
        } catch (err) {
          expect(err).instanceOf(RangeError);
        }
      }),
    );
  });

  it("sets the headers that tell an engine what to expect and obey", () => {
    const marks = wire.PROTOCOL.sendHeaders({ instance: "i-1", version: 3, rank: 12, leftMs: 700 });
    expect(marks).deep.equal({
      "x-sumacfield-expect-instance": "i-1",
      "x-sumacfield-deadline-ms": "700",
      "x-sumacfield-request-priority": "9",
      "x-sumacfield-expect-version": "3",
    });
  });

  it("drops what only the system may ask of an engine, however a caller spells it", () => {
    const names = ["X-Sumacfield-Hold", "X-Sumacfield-Pin-Ms", "X-Sumacfield-Kv-Backup"];
    const reserved = fc.constantFrom(
      ...names,
      "Kv-From",
      "Kv-Fetch",
      "X-Sumacfield-Expect-Version",
    );
    const spelling = fc.func(fc.boolean());
    const values = fc.array(fc.string(), { minLength: 1, maxLength: 3 });
    fc.assert(
      fc.property(fc.array(fc.tuple(reserved, spelling, values)), (sent) => {
        const spelt = sent.map(([name, upper, v]): [string, readonly string[]] => [
          Array.from(name, (c, i) => (upper(i) ? c.toUpperCase() : c.toLowerCase())).join(""),
          v,
        ]);
        const all = { ...Object.fromEntries(spelt), "x-sumacfield-model": ["m/a"] };
        const passed = headers.forRequest(all, wire.PROTOCOL.reserved);
        expect(passed).deep.equal({ "x-sumacfield-model": "m/a" });
      }),
    );
  });

  it("takes a request for not run only on explicit evidence", () => {
    const { saysNotRun } = wire.PROTOCOL;
    expect(saysNotRun(421, {})).equal(true);
    expect(saysNotRun(503, { "x-sumacfield-not-executed": "1" })).equal(true);
    expect(saysNotRun(503, {})).equal(false);
    expect(saysNotRun(500, {})).equal(false);
  });

  it("has its names used nowhere in src", () => {
    const names =
      /x-sumacfield-|kv-(txn|watch|range|lease)|op\/config|fencingToken|SUMACFIELD_CONFIG/i;
    const found = sources("src").filter((f) => names.test(fs.readFileSync(f, "utf8")));
    expect(found).deep.equal([]);
  });
});

/** The TypeScript files under a folder. */
function sources(folder: string): readonly string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((f) => {
    const fullPath = path.join(folder, f.name);
    if (f.isDirectory()) return sources(fullPath);
    return fullPath.endsWith(".ts") ? [fullPath] : [];
  });
}
