/**
 * Switches each mechanism off in a scratch copy of the compiled code, and checks that its proof then
 * fails: `npm run red [-- TEXT]` for all, or those whose name contains TEXT.
 * @module
 */
import * as child from "node:child_process";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as answerSwitches from "./answer-switches.js";
import * as continuationSwitches from "./continuation-switches.js";
import * as crashSwitches from "./crash-switches.js";
import * as hedgingSwitches from "./hedging-switches.js";
import * as limiterSwitches from "./limiter-switches.js";
import * as pacingSwitches from "./pacing-switches.js";
import * as readingSwitches from "./reading-switches.js";
import * as servingSwitches from "./serving-switches.js";
import * as sharingSwitches from "./sharing-switches.js";
import * as soakSwitches from "./soak-switches.js";
import * as spreadSwitches from "./spread-switches.js";
import * as storeSwitches from "./store-switches.js";
import * as switches from "./switches.js";
import * as versionSwitches from "./version-switches.js";

const ROOT = new URL("../../../", import.meta.url).pathname;
const TOGETHER = 4;
const TIMEOUT_MS = 9000;
/** Seeds of the soak that may find a mechanism missing. */
const SOAK_SEEDS = 3;

type Seen = "fails" | "PASSES" | "NOT APPLIED" | "NO SUCH PROOF";

function run(dir: string, title: string): Promise<string> {
  const mocha = path.join(ROOT, "node_modules/mocha/bin/mocha.js");
  const args = [
    mocha,
    "--no-config",
    "--exit",
    "--timeout",
    String(TIMEOUT_MS),
    "--reporter",
    "dot",
  ];
  const escaped = title.replaceAll(/[.*+?^${}()|[\]\\]/g, "\\$&");
  const spec = path.join(dir, "test/**/*.test.js");
  return new Promise((resolve) => {
    child.execFile(
      process.execPath,
      [...args, "--grep", `${escaped}$`, spec],
      { cwd: ROOT },
      (_err, stdout) => {
        resolve(stdout);
      },
    );
  });
}

/** Runs the soak on the edited daemons; it must find what it is to find. */
function soak(dir: string, what: string): Promise<Seen> {
  const main = path.join(dir, "platform/main.js");
  const args = [path.join(dir, "bench/soak/main.js"), "--main", main, "--out", `${dir}/soak`];
  return new Promise((resolve) => {
    child.execFile(
      process.execPath,
      [...args, "--seed", "1", "--seeds", String(SOAK_SEEDS)],
      { cwd: ROOT },
      (_err, stdout) => {
        if (!/^Requests: /m.test(stdout)) resolve("NO SUCH PROOF");
        else resolve(stdout.includes(`\n  ${what}`) ? "fails" : "PASSES");
      },
    );
  });
}

async function judge(s: switches.Switch, n: number): Promise<Seen> {
  const dir = path.join(ROOT, `out-red-${n}`);
  await fs.rm(dir, { recursive: true, force: true });
  await fs.cp(path.join(ROOT, "target"), dir, { recursive: true });
  try {
    const file = path.join(dir, "src", s.file);
    const text = await fs.readFile(file, "utf8");
    if (text.split(s.find).length !== 2) return "NOT APPLIED";
    await fs.writeFile(
      file,
      text.replace(s.find, () => s.put),
    );
    if (s.bySoak) return await soak(dir, s.proof);
    const out = await run(dir, s.proof);
    if (/[1-9]\d* failing/.test(out)) return "fails";
    return /[1-9]\d* passing/.test(out) ? "PASSES" : "NO SUCH PROOF";
  } finally {
    await fs.rm(dir, { recursive: true, force: true });
  }
}

const all = [
  ...switches.SWITCHES,
  ...servingSwitches.SERVING_SWITCHES,
  ...answerSwitches.ANSWER_SWITCHES,
  ...continuationSwitches.CONTINUATION_SWITCHES,
  ...versionSwitches.VERSION_SWITCHES,
  ...crashSwitches.CRASH_SWITCHES,
  ...hedgingSwitches.HEDGING_SWITCHES,
  ...pacingSwitches.PACING_SWITCHES,
  ...limiterSwitches.LIMITER_SWITCHES,
  ...sharingSwitches.SHARING_SWITCHES,
  ...storeSwitches.STORE_SWITCHES,
  ...soakSwitches.SOAK_SWITCHES,
  ...spreadSwitches.SPREAD_SWITCHES,
  ...readingSwitches.READING_SWITCHES,
];
const wanted = all.filter((s) => s.name.includes(process.argv[2] ?? ""));
const queue = [...wanted.entries()];
let bad = 0;

async function work(): Promise<void> {
  for (let next = queue.shift(); next; next = queue.shift()) {
    const [n, s] = next;
    const seen = await judge(s, n);
    if (seen !== "fails") bad++;
    process.stdout.write(`${seen}: "${s.proof}", without: ${s.name}\n`);
  }
}

await Promise.all(Array.from({ length: TOGETHER }, work));
process.stdout.write(
  `${wanted.length - bad} of ${wanted.length} proofs fail without their mechanism\n`,
);
process.exitCode = bad === 0 ? 0 : 1;
