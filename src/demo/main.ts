/**
 * The demo: runs a small site as separate processes on the loopback interface. It applies an intent
 * with the command line, sends requests for several adapters and versions, checks every answer, stops
 * one endpoint daemon gracefully under load, and prints a summary.
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
/** Completion requests sent in all; the endpoint daemon is stopped after half of them. */
const REQUEST_COUNT = 300;
/** Requests in flight at a time. */
const CONCURRENCY = 24;
const MAX_TOKENS = 6;
/** Milliseconds that the weight store takes for one load that runs alone. */
const LOAD_MS = 60;
/** Milliseconds of one decoding step of an engine. */
const STEP_MS = 5;
/** Milliseconds from the start of the demo within which all daemons must be serving. */
const SERVING_DEADLINE_MS = 60_000;

/** Counts the answers, and the refusals by outcome and code. */
interface Tally {
  correct: number;
  incorrect: number;
  readonly refusals: Map<string, number>;
}

/** Writes the intent with the demo's adapters to a temporary file and returns its path. */
async function writeIntentFile(weights: string): Promise<string> {
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

/** Adds a daemon to the list of hosts. */
async function registerMember(hostListAddress: string, member: object): Promise<void> {
  await undici.request(`http://${hostListAddress}/`, {
    method: "POST",
    body: JSON.stringify(member),
  });
}

/** Sends the `i`th request to an entry daemon and checks its answer. */
async function sendRequest(entry: string, i: number, tally: Tally): Promise<void> {
  const adapter = ADAPTERS[i % ADAPTERS.length] ?? "";
  const version = VERSIONS[i % VERSIONS.length] ?? "";
  const stream = i % 3 === 0;
  const target = `${adapter}@${version}`;
  const prompt = `request ${i}`;
  const res = await undici.request(`http://${entry}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${CALLER_KEY}` },
    body: JSON.stringify({ model: target, prompt, max_tokens: MAX_TOKENS, stream }),
  });
  const text = await res.body.text();
  if (res.statusCode !== 200) {
    const { error } = JSON.parse(text) as { error: { code: string; outcome: string } };
    const key = `${error.outcome} (${error.code})`;
    tally.refusals.set(key, (tally.refusals.get(key) ?? 0) + 1);
    return;
  }
  const expected = Array.from({ length: MAX_TOKENS }, (_, n) => `${target}:${prompt}:${n} `);
  const isCorrect = stream
    ? expected.every((w) => text.includes(JSON.stringify(w))) && text.endsWith("data: [DONE]\n\n")
    : text.includes(JSON.stringify(expected.join("")));
  if (isCorrect) tally.correct++;
  else tally.incorrect++;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function check(failure: string, condition: boolean): void {
  if (!condition) throw new Error(`the demo failed: ${failure}`);
}

async function run(): Promise<void> {
  const startedAt = performance.now();
  const [store, hosts, weights, service, ...engines] = await Promise.all([
    processes.startStandIn("store", {}),
    processes.startStandIn("hosts", {}),
    processes.startStandIn("weights", { loadMs: LOAD_MS }),
    processes.startStandIn("service", {}),
    ...DOMAINS.map(() =>
      processes.startStandIn("engine", {
        slots: 3,
        seats: 8,
        stepMs: STEP_MS,
        baseModel: "base-7b",
      }),
    ),
  ]);
  const hostListAddress = hosts.addresses[0] ?? "";
  const env = {
    SUMACFIELD_STORE_URL: `http://${store.addresses[0] ?? ""}`,
    SUMACFIELD_HOSTS_URL: `http://${hostListAddress}`,
    SUMACFIELD_CLUSTER_KEYS: "demo-cluster-key-0001",
    SUMACFIELD_LINK_ADDRESS: "127.0.0.1:0",
    SUMACFIELD_CALLERS_ADDRESS: "127.0.0.1:0",
    SUMACFIELD_HOSTS_EVERY_MS: "250",
    SUMACFIELD_ASK_EVERY_MS: "250",
  };
  printLine("Stand-ins run: a store, a list of hosts, a weight store, a service, three engines.");
  const file = await writeIntentFile(weights.addresses[0] ?? "");
  const applyResult = await processes.runCommand(["apply", "-f", file], env);
  check(
    `apply ended with ${String(applyResult.code)}: ${applyResult.text}`,
    applyResult.code === 0,
  );

  const startListedDaemon = async (
    role: "entry" | "endpoint",
    name: string,
    domain: string,
    backend?: string,
  ): Promise<processes.DemoProcess> => {
    const daemonEnv = {
      ...env,
      SUMACFIELD_FAILURE_DOMAIN: domain,
      ...(backend && { SUMACFIELD_BACKEND_URL: `http://${backend}` }),
    };
    const daemon = await processes.startDaemon(role, name, daemonEnv);
    const address = daemon.addresses.at(-1) ?? "";
    await registerMember(hostListAddress, {
      name,
      role,
      failureDomain: domain,
      address,
      leaving: false,
    });
    return daemon;
  };
  const daemons = await Promise.all([
    ...DOMAINS.map((d, i) =>
      startListedDaemon("endpoint", `engine-${d}`, `qld-se-${d}`, engines[i]?.addresses[0]),
    ),
    startListedDaemon("endpoint", "listings-a", "qld-se-a", service.addresses[0]),
    startListedDaemon("entry", "entry-1", "qld-se-a"),
    startListedDaemon("entry", "entry-2", "qld-se-b"),
  ]);
  const entries = daemons.slice(-2).map((d) => d.addresses[0] ?? "");
  for (;;) {
    const { code, text } = await processes.runCommand(["status"], env);
    if (code === 0 && !/learning|without/.test(text)) break;
    check(
      "the daemons did not begin to serve in time",
      performance.now() - startedAt < SERVING_DEADLINE_MS,
    );
  }
  printLine("Daemons serve: two entry daemons, four endpoint daemons.");
  const labelResult = await processes.runCommand(["label", "host", "host-a", "rack=r1"], env);
  check(
    `label ended with ${String(labelResult.code)}: ${labelResult.text}`,
    labelResult.code === 0,
  );
  printLine(labelResult.text.trim());

  const tally: Tally = { correct: 0, incorrect: 0, refusals: new Map() };
  let nextRequest = 0;
  let stoppedExitCode: Promise<number | null> | undefined;
  const worker = async (): Promise<void> => {
    while (nextRequest < REQUEST_COUNT) {
      const i = nextRequest++;
      if (i === REQUEST_COUNT / 2) {
        daemons[0].signal("SIGTERM");
        stoppedExitCode = daemons[0].ended;
      }
      await sendRequest(entries[i % entries.length] ?? "", i, tally);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  const code = await stoppedExitCode;
  const serviceResponse = await undici.request(
    `http://${entries[0] ?? ""}/services/listings/tonight`,
    {
      headers: { authorization: `Bearer ${CALLER_KEY}` },
    },
  );
  await serviceResponse.body.dump();
  const explainResult = await processes.runCommand(["explain", "wattle", "captions-en"], env);

  printLine(
    `Requests: ${REQUEST_COUNT}. Right and whole: ${tally.correct}. Wrong: ${tally.incorrect}.`,
  );
  for (const [what, n] of tally.refusals) printLine(`  ${what}: ${n}`);
  printLine(
    `engine-a was stopped after ${REQUEST_COUNT / 2} requests, and ended with code ${String(code)}.`,
  );
  printLine(`The listings service answered ${serviceResponse.statusCode}.`);
  printLine(explainResult.text.trim());
  check("an answer was wrong or missing", tally.correct === REQUEST_COUNT);
  check("the stopped daemon did not end cleanly", code === 0);
  check("the service did not answer", serviceResponse.statusCode === 200);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  printLine(`The demo passed in ${seconds} s.`);
  await fs.rm(path.dirname(file), { recursive: true });
}

try {
  await run();
} catch (err) {
  printLine(err instanceof Error ? err.message : String(err));
  process.exitCode = 1;
} finally {
  await processes.killAll();
}
