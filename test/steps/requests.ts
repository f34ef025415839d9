/** Steps in which callers send requests, and steps that check the answers. */
import * as chai from "chai";
import * as site from "../../bench/site.js";
import * as world from "./world.js";

const { expect } = chai;

/** Sends a request for `model`, and notes what its answer must contain. */
function sendRequest(
  w: world.World,
  model: string,
  opts: Parameters<site.Site["ask"]>[1] & { readonly prompt: string },
): void {
  const n = w.pendingAnswers.push(w.site.ask(model, opts));
  w.notes.set(`model of ${n}`, model);
  w.notes.set(`prompt of ${n}`, opts.prompt);
  w.notes.set(`tokens of ${n}`, opts.tokens);
}

/** A prompt unlike those of the scenario's earlier requests. */
const nextPrompt = (w: world.World): string => `prompt ${w.pendingAnswers.length}`;

world.step("a caller asks {word} for {int} tokens", (w, model: string, tokens: number) => {
  sendRequest(w, model, { tokens, prompt: nextPrompt(w) });
});

world.step(
  "a caller asks {word} for {int} tokens as a stream",
  (w, model: string, tokens: number) => {
    sendRequest(w, model, { tokens, prompt: nextPrompt(w), stream: true });
  },
);

world.step(
  "a caller asks {word} for {int} tokens, not to be repeated",
  (w, model: string, tokens: number) => {
    sendRequest(w, model, {
      tokens,
      prompt: nextPrompt(w),
      headers: { "sumacfield-repeat": "never" },
    });
  },
);

world.step(
  "a caller asks {word} for {int} tokens within {int} s",
  (w, model: string, tokens: number, s: number) => {
    sendRequest(w, model, { tokens, prompt: nextPrompt(w), headers: { prefer: `wait=${s}` } });
  },
);

world.step(
  "a caller asks {word} for {int} tokens with the key {string} through entry host {int}",
  (w, model: string, tokens: number, key: string, entryHost: number) => {
    const headers = { "idempotency-key": key };
    sendRequest(w, model, { tokens, prompt: nextPrompt(w), headers, at: entryHost - 1 });
  },
);

world.step(
  "{int} callers ask {word} for {int} tokens each",
  (w, n: number, model: string, tokens: number) => {
    for (let i = 0; i < n; i++)
      sendRequest(w, model, { tokens, prompt: nextPrompt(w), at: i % w.site.entries.length });
  },
);

world.step("a caller confirms cutover {string}", (w, cutover: string) => {
  w.pendingAnswers.push(w.site.call("POST", "/services/cutover/confirm", cutover));
});

world.step(
  "a caller confirms cutover {string} with the key {string} through entry host {int}",
  (w, cutover: string, key: string, entryHost: number) => {
    const headers = { "idempotency-key": key };
    w.pendingAnswers.push(
      w.site.call("POST", "/services/cutover/confirm", cutover, { headers, at: entryHost - 1 }),
    );
  },
);

world.step("the engines run {int} request(s)", (w, n: number) =>
  site.until(() => runningCount(w) >= n),
);

world.step("the engines are done", (w) => site.until(() => runningCount(w) === 0));

/** Number of requests that the engines have begun and not finished. */
function runningCount(w: world.World): number {
  const journal = w.site.journal();
  const ran = journal.filter((e) => e.kind === "run").length;
  return ran - journal.filter((e) => e.kind === "finish").length;
}

world.step("every caller gets a whole answer of its own", async (w) => {
  for (const [i, a] of (await w.answers()).entries()) {
    const n = i + 1;
    expect(a.status, `answer ${n}: ${a.text}`).equal(200);
    expect(a.broken, `answer ${n} was cut`).equal(false);
    const named = String(w.notes.get(`model of ${n}`));
    const model = named.includes("@") ? named : String(a.headers["sumacfield-model"]);
    const prompt = String(w.notes.get(`prompt of ${n}`));
    const tokens = Number(w.notes.get(`tokens of ${n}`));
    const words = Array.from({ length: tokens }, (_, t) => `${model}:${prompt}:${t} `);
    if (a.text.startsWith("data: ")) {
      for (const word of words) expect(a.text).include(JSON.stringify(word));
      expect(a.text.endsWith("data: [DONE]\n\n")).equal(true);
    } else expect(site.textOf(a)).equal(words.join(""));
  }
});

world.step("the answer is on {word}", async (w, target: string) => {
  const a = await w.lastAnswer();
  expect(a.status, a.text).equal(200);
  expect(a.headers["sumacfield-model"]).equal(target);
});

world.step("answer {int} is on {word}", async (w, n: number, target: string) => {
  const a = (await w.answers())[n - 1];
  expect(a?.status, a?.text).equal(200);
  expect(a?.headers["sumacfield-model"]).equal(target);
  expect(a?.text).include(`${target}:`);
});

world.step(
  "the caller is told {word}, with the code {word}",
  async (w, expectedOutcome: string, code: string) => {
    expect(site.errorOf(await w.lastAnswer())).include({ outcome: expectedOutcome, code });
  },
);

world.step("the caller is told {word}", async (w, expectedOutcome: string) => {
  expect(site.errorOf(await w.lastAnswer()).outcome).equal(expectedOutcome);
});

world.step("the caller is told when to come back", async (w) => {
  expect(Number((await w.lastAnswer()).headers["retry-after"])).least(1);
});

world.step("the caller can tell that the answer is not whole", async (w) => {
  const a = await w.lastAnswer();
  expect(a.broken).equal(true);
  expect(a.text).not.include("[DONE]");
  expect(a.text).include('"outcome":"unknown"');
});

world.step("exactly one caller gets an answer, and the others are told unknown", async (w) => {
  const answers = await w.answers();
  const good = answers.filter((a) => a.status === 200);
  expect(good).length(1);
  for (const a of answers) if (a.status !== 200) expect(site.errorOf(a).outcome).equal("unknown");
});

world.step("no engine ran anything for a caller told not_run", async (w) => {
  for (const a of await w.answers()) {
    if (a.status === 200 || site.errorOf(a).outcome !== "not_run") continue;
    const id = String(a.headers["x-request-id"]);
    const ran = w.site.journal().filter((e) => e.kind === "run" && e.id.startsWith(id));
    expect(ran, `request ${id} was told not_run`).eql([]);
  }
});

world.step("no request ran more than once", (w) => {
  const ran = w.site.journal().flatMap((e) => (e.kind === "run" ? [e.id.slice(0, 36)] : []));
  expect(new Set(ran).size).equal(ran.length);
});

world.step("the engines ran {int} request(s) in all", (w, n: number) => {
  expect(w.site.journal().filter((e) => e.kind === "run")).length(n);
});

world.step("the service ran {string} {int} time(s)", (w, body: string, n: number) => {
  expect(w.site.services?.service.executedCalls.filter((r) => r.body === body)).length(n);
});

world.step("no adapter was evicted in use", (w) => {
  expect(w.site.journal().filter((e) => e.kind === "evicted-in-use")).eql([]);
});

world.step(
  "a caller asks {word} for {int} tokens and goes away",
  async (w, model: string, tokens: number) => {
    await w.site.askAndLeave(model, tokens, () => runningCount(w) > 0);
  },
);

world.step("{word} was loaded {int} times", (w, target: string, n: number) => {
  const loads = w.site
    .journal()
    .filter((e) => e.kind === "load" && e.name.startsWith(`${target}~`));
  expect(loads).length(n);
});

world.step("every caller is told not_run or unknown", async (w) => {
  for (const a of await w.answers()) {
    expect(a.status).not.equal(200);
    expect(site.errorOf(a).outcome).oneOf(["not_run", "unknown"]);
  }
});

world.step("some callers are told not_run with when to come back", async (w) => {
  const refused = (await w.answers()).filter((a) => a.status !== 200);
  expect(refused).not.length(0);
  for (const a of refused) {
    expect(site.errorOf(a).outcome, a.text).equal("not_run");
    expect(Number(a.headers["retry-after"])).least(1);
  }
});

world.step("the last caller gets an answer", async (w) => {
  const a = await w.lastAnswer();
  expect(a.status, a.text).equal(200);
});

world.step(
  "the service ran {string} {int} time(s) after the answer",
  async (w, body: string, n: number) => {
    expect((await w.lastAnswer()).status).equal(200);
    expect(w.site.services?.service.executedCalls.filter((r) => r.body === body)).length(n);
  },
);
