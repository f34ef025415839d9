/**
 * The demo: a small site of separate processes on loopback. It applies an intent with the command
 * line, sends requests for several adapters and versions, checks every answer, stops one host
 * gracefully under load, and prints a summary.
 * @module
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as undici from "undici";
import * as yaml from "yaml";
import * as keys from "../link/keys.js";
import * as processes from "./process.js";

const CALLER_KEY = "demo-caller-key";
const ADAPTERS = ["captions-en", "captions-ar", "summaries", "segment-notes", "listings-voice"];
const VERSIONS = ["1", "2"];
const DOMAINS = ["a", "b", "c"];
const REQUESTS = 300;
const TOGETHER = 24;
const TOKENS = 6;
const LOAD_MS = 60;
const STEP_MS = 5;
/** What the demo must stay under, in ms. */
const LIMIT_MS = 60_000;

interface Tally {
  right: number;
  wrong: number;
  readonly refused: Map<string, number>;
}

async function intentFile(weights: string): Promise<string> {
  const source = new URL("../../../src/demo/intent.yaml", import.meta.url);
  const text = (await fs.readFile(source, "utf8")).replace("KEY_HASH", keys.sha256(CALLER_KEY));
  const adapters = ADAPTERS.map((name) => ({
    apiVersion: "sumacfield/v1",
    kind: "Adapter",
    metadata: { name, labels: { "co-operative": "wattle" } },
    spec: {
      baseModel: "base-7b",
      versions: VERSIONS.map((version) => ({ version, source: `http://${weights}/${name}` })),
      current: VERSIONS[0],
    },
  }));
  const dir = await fs.mkdtemp(path.join(os.tmpdir(), "sumacfield-demo-"));
  const file = path.join(dir, "intent.yaml");
  await fs.writeFile(file, [text, ...adapters.map((a) => yaml.stringify(a))].join("\n---\n"));
  return file;
}

async function list(at: string, member: object): Promise<void> {
  await undici.request(`http://${at}/`, { method: "POST", body: JSON.stringify(member) });
}

async function ask(entry: string, i: number, tally: Tally): Promise<void> {
  const adapter = ADAPTERS[i % ADAPTERS.length] ?? "";
  const version = VERSIONS[i % VERSIONS.length] ?? "";
  const stream = i % 3 === 0;
  const target = `${adapter}@${version}`;
  const prompt = `request ${i}`;
  const res = await undici.request(`http://${entry}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${CALLER_KEY}` },
    body: JSON.stringify({ model: target, prompt, max_tokens: TOKENS, stream }),
  });
  const text = await res.body.text();
  if (res.statusCode !== 200) {
    const { error } = JSON.parse(text) as { error: { code: string; outcome: string } };
    const key = `${error.outcome} (${error.code})`;
    tally.refused.set(key, (tally.refused.get(key) ?? 0) + 1);
    return;
  }
  const want = Array.from({ length: TOKENS }, (_, n) => `${target}:${prompt}:${n} `);
  const whole = stream
    ? want.every((w) => text.includes(JSON.stringify(w))) && text.endsWith("data: [DONE]\n\n")
    : text.includes(JSON.stringify(want.join("")));
  if (whole) tally.right++;
  else tally.wrong++;
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function must(what: string, holds: boolean): void {
  if (!holds) throw new Error(`the demo failed: ${what}`);
}

async function run(): Promise<void> {
  const began = performance.now();
  const [store, hosts, weights, service, ...engines] = await Promise.all([
    processes.standIn("store", {}),
    processes.standIn("hosts", {}),
    processes.standIn("weights", { loadMs: LOAD_MS }),
    processes.standIn("service", {}),
    ...DOMAINS.map(() =>
      processes.standIn("engine", { slots: 3, seats: 8, stepMs: STEP_MS, baseModel: "base-7b" }),
    ),
  ]);
  const hostsAt = hosts.addresses[0] ?? "";
  const env = {
    SUMACFIELD_STORE_URL: `http://${store.addresses[0] ?? ""}`,
    SUMACFIELD_HOSTS_URL: `http://${hostsAt}`,
    SUMACFIELD_CLUSTER_KEYS: "demo-cluster-key-0001",
    SUMACFIELD_LINK_ADDRESS: "127.0.0.1:0",
    SUMACFIELD_CALLERS_ADDRESS: "127.0.0.1:0",
    SUMACFIELD_HOSTS_EVERY_MS: "250",
    SUMACFIELD_ASK_EVERY_MS: "250",
  };
  say("Stand-ins run: a store, a list of hosts, a weight store, a service, three engines.");
  const file = await intentFile(weights.addresses[0] ?? "");
  const first = await processes.command(["apply", "-f", file], env);
  must(`apply ended with ${String(first.code)}: ${first.text}`, first.code === 0);

  const listed = async (
    role: "entry" | "endpoint",
    name: string,
    domain: string,
    backend?: string,
  ): Promise<processes.Running> => {
    const own = {
      ...env,
      SUMACFIELD_FAILURE_DOMAIN: domain,
      ...(backend && { SUMACFIELD_BACKEND_URL: `http://${backend}` }),
    };
    const at = await processes.daemon(role, name, own);
    const address = at.addresses.at(-1) ?? "";
    await list(hostsAt, { name, role, failureDomain: domain, address, leaving: false });
    return at;
  };
  const daemons = await Promise.all([
    ...DOMAINS.map((d, i) =>
      listed("endpoint", `engine-${d}`, `qld-se-${d}`, engines[i]?.addresses[0]),
    ),
    listed("endpoint", "listings-a", "qld-se-a", service.addresses[0]),
    listed("entry", "entry-1", "qld-se-a"),
    listed("entry", "entry-2", "qld-se-b"),
  ]);
  const entries = daemons.slice(-2).map((d) => d.addresses[0] ?? "");
  for (;;) {
    const { code, text } = await processes.command(["status"], env);
    if (code === 0 && !/learning|without/.test(text)) break;
    must("the daemons did not come to serve", performance.now() - began < LIMIT_MS);
  }
  say("Daemons serve: two entry daemons, four endpoint daemons.");
  const label = await processes.command(["label", "host", "host-a", "rack=r1"], env);
  must(`label ended with ${String(label.code)}: ${label.text}`, label.code === 0);
  say(label.text.trim());

  const tally: Tally = { right: 0, wrong: 0, refused: new Map() };
  let next = 0;
  let leaving: Promise<number | null> | undefined;
  const worker = async (): Promise<void> => {
    while (next < REQUESTS) {
      const i = next++;
      if (i === REQUESTS / 2) {
        daemons[0].signal("SIGTERM");
        leaving = daemons[0].ended;
      }
      await ask(entries[i % entries.length] ?? "", i, tally);
    }
  };
  await Promise.all(Array.from({ length: TOGETHER }, worker));
  const code = await leaving;
  const call = await undici.request(`http://${entries[0] ?? ""}/services/listings/tonight`, {
    headers: { authorization: `Bearer ${CALLER_KEY}` },
  });
  await call.body.dump();
  const explained = await processes.command(["explain", "wattle", "captions-en"], env);

  say(`Requests: ${REQUESTS}. Right and whole: ${tally.right}. Wrong: ${tally.wrong}.`);
  for (const [what, n] of tally.refused) say(`  ${what}: ${n}`);
  say(`engine-a was stopped after ${REQUESTS / 2} requests, and ended with code ${String(code)}.`);
  say(`The listings service answered ${call.statusCode}.`);
  say(explained.text.trim());
  must("an answer was wrong or missing", tally.right === REQUESTS);
  must("the stopped daemon did not end cleanly", code === 0);
  must("the service did not answer", call.statusCode === 200);
  const seconds = ((performance.now() - began) / 1000).toFixed(1);
  say(`The demo passed in ${seconds} s.`);
  await fs.rm(path.dirname(file), { recursive: true });
}

try {
  await run();
} catch (err) {
  say(err instanceof Error ? err.message : String(err));
  process.exitCode = 1;
} finally {
  await processes.endAll();
}
