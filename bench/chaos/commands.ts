/**
 * Failures and requests as fast-check's model-based commands over a real site.
 * @module
 */
import type * as fc from "fast-check";
import * as site from "../site.js";
import type * as history from "./history.js";

/** What the commands assume: which failures are on. */
export interface Model {
  readonly on: Set<string>;
}

/** The site under test, and what its callers saw. */
export interface Real {
  readonly site: site.Site;
  readonly seen: history.Seen[];
  readonly pending: Promise<void>[];
  /** For each request under way, what failed while it was. */
  readonly underWay: Set<Set<string>>;
  count: number;
}

type Command = fc.AsyncCommand<Model, Real>;

function during(failures: ReadonlySet<string>): string {
  return failures.size === 0 ? "nothing" : [...failures].sort().join(" + ");
}

function resultOf(a: site.Answer, tokens: number): history.Seen["result"] {
  if (a.broken) return { kind: "broken" };
  if (a.status !== 200) {
    const { code, outcome: told } = site.errorOf(a);
    if (code === "duplicate") return { kind: "duplicate" };
    return told === "not_run" || told === "failed" || told === "unknown"
      ? { kind: told, code: String(code) }
      : { kind: "broken" };
  }
  const model = String(a.headers["sumacfield-model"]);
  if (!a.text.startsWith("data: ")) {
    return { kind: "answer", model, text: tokens === 0 ? bodyOf(a.text) : site.textOf(a) };
  }
  const texts = [...a.text.matchAll(/"text":"([^"]*)"/g)].map((m) => m[1] ?? "");
  return { kind: "answer", model, text: texts.join("") };
}

const refused = (err: unknown): boolean =>
  err instanceof Error && "code" in err && err.code === "ECONNREFUSED";

const bodyOf = (text: string): string => (JSON.parse(text) as { body: string }).body;

/** Sends requests of one kind and lets them run while the next commands come. */
export class Ask implements Command {
  constructor(
    private readonly model: string,
    private readonly times: number,
    private readonly tokens: number,
    private readonly stream: boolean,
    private readonly key: string | undefined,
  ) {}

  check(): boolean {
    return true;
  }

  run(m: Model, r: Real): Promise<void> {
    for (let i = 0; i < this.times; i++) {
      const prompt = `p${r.count++}`;
      const at = i % r.site.entries.length;
      const failures = new Set(m.on);
      r.underWay.add(failures);
      // Each key is used twice: by a caller, and by the same caller asking again.
      const key = this.key === undefined ? undefined : `${this.key}.${i >> 1}`;
      r.pending.push(this.one(r, prompt, at, failures, key));
    }
    return Promise.resolve();
  }

  private async one(
    r: Real,
    prompt: string,
    at: number,
    failures: Set<string>,
    key: string | undefined,
  ): Promise<void> {
    const service = this.model === "service";
    const headers = {
      prefer: "wait=4",
      ...(key !== undefined && { "idempotency-key": key }),
    };
    const send = (to: number): Promise<site.Answer> => {
      const more = { prompt, at: to, headers, tokens: this.tokens, stream: this.stream };
      return service
        ? r.site.call("POST", "/services/cutover/confirm", prompt, { at: to, headers })
        : r.site.ask(this.model, more);
    };
    const answer = await send(at)
      .catch((err: unknown) => {
        // The platform's balancer passes over an entry host that takes no connections.
        if (!refused(err)) throw err;
        return send((at + 1) % r.site.entries.length);
      })
      .catch(() => undefined);
    r.underWay.delete(failures);
    r.seen.push({
      id: String(answer?.headers["x-request-id"] ?? ""),
      prompt,
      model: this.model,
      tokens: service ? 0 : this.tokens,
      // A call that may not be repeated has a key of its own when the caller gave none.
      key: key ?? (service ? prompt : undefined),
      during: during(failures),
      result: answer ? resultOf(answer, service ? 0 : this.tokens) : { kind: "broken" },
    });
  }

  toString(): string {
    const key = this.key === undefined ? "" : ` with key ${this.key}`;
    return `ask ${this.model} ${this.times} times${key}`;
  }
}

/** A failure that lasts until it is mended. */
export interface Failure {
  readonly name: string;
  readonly begin: (s: site.Site) => Promise<void> | void;
  readonly end: (s: site.Site) => Promise<void> | void;
}

const LAG_MS = 150;

/** The failures of the brief, each on one part of the site. */
export const FAILURES: readonly Failure[] = [
  {
    name: "store down",
    begin: (s) => {
      s.store.store.faults.down = true;
      s.store.store.closeWatches();
    },
    end: (s) => {
      s.store.store.faults.down = false;
    },
  },
  {
    name: "store slow",
    begin: (s) => {
      s.store.store.faults.delayMs = LAG_MS;
    },
    end: (s) => {
      s.store.store.faults.delayMs = 0;
    },
  },
  {
    name: "store loses replies",
    begin: (s) => {
      s.store.store.faults.loseReplies = 2;
    },
    end: (s) => {
      s.store.store.faults.loseReplies = 0;
    },
  },
  {
    name: "engine cold",
    begin: (s) => {
      s.engines[0]?.engine.restart();
    },
    end: () => undefined,
  },
  {
    name: "engine out",
    begin: (s) => {
      const e = s.engines[1]?.engine;
      if (e) e.down = true;
      e?.restart();
    },
    end: (s) => {
      const e = s.engines[1]?.engine;
      if (e) e.down = false;
    },
  },
  {
    name: "engine loses replies",
    begin: (s) => {
      for (const e of s.engines) e.engine.faults.loseReplies = 1;
    },
    end: (s) => {
      for (const e of s.engines) e.engine.faults.loseReplies = 0;
    },
  },
  {
    name: "engine answers wrong",
    begin: (s) => {
      for (const e of s.engines) {
        e.engine.faults.wrongModels = 1;
        e.engine.faults.wrongIds = 1;
      }
    },
    end: (s) => {
      for (const e of s.engines) {
        e.engine.faults.wrongModels = 0;
        e.engine.faults.wrongIds = 0;
      }
    },
  },
  {
    name: "answers break",
    begin: (s) => {
      for (const e of s.engines) e.engine.faults.breakAnswers = 2;
    },
    end: (s) => {
      for (const e of s.engines) e.engine.faults.breakAnswers = 0;
    },
  },
  {
    name: "service loses replies",
    begin: (s) => {
      if (s.services) s.services.service.loseReplies = 2;
    },
    end: (s) => {
      if (s.services) s.services.service.loseReplies = 0;
    },
  },
  {
    name: "loads fail",
    begin: (s) => {
      s.weights.weights.faults.refuseLoads = true;
    },
    end: (s) => {
      s.weights.weights.faults.refuseLoads = false;
    },
  },
  {
    name: "endpoint daemon killed",
    begin: (s) => {
      s.endpoints[2]?.kill();
    },
    end: async (s) => {
      await s.addEndpoint(2);
    },
  },
  {
    name: "endpoint daemon leaves",
    begin: async (s) => {
      await s.endpoints[0]?.stop();
    },
    end: async (s) => {
      await s.addEndpoint(0);
    },
  },
  {
    name: "entry daemon killed",
    begin: (s) => {
      s.entries[1]?.kill();
    },
    end: async (s) => {
      await s.addEntry(1);
    },
  },
  {
    name: "list of hosts down",
    begin: (s) => {
      s.list.hosts.down = true;
    },
    end: (s) => {
      s.list.hosts.down = false;
    },
  },
];

/** Begins a failure; two at a time at most. */
export class Begin implements Command {
  constructor(private readonly failure: Failure) {}

  check(m: Readonly<Model>): boolean {
    return !m.on.has(this.failure.name) && m.on.size < 2;
  }

  async run(m: Model, r: Real): Promise<void> {
    m.on.add(this.failure.name);
    for (const failures of r.underWay) failures.add(this.failure.name);
    await this.failure.begin(r.site);
  }

  toString(): string {
    return `begin: ${this.failure.name}`;
  }
}

/** Mends a failure. */
export class End implements Command {
  constructor(private readonly failure: Failure) {}

  check(m: Readonly<Model>): boolean {
    return m.on.has(this.failure.name);
  }

  async run(m: Model, r: Real): Promise<void> {
    await this.failure.end(r.site);
    m.on.delete(this.failure.name);
  }

  toString(): string {
    return `end: ${this.failure.name}`;
  }
}

/** Lets what is under way go on. */
export class Wait implements Command {
  constructor(private readonly ms: number) {}

  check(): boolean {
    return true;
  }

  run(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, this.ms);
    });
  }

  toString(): string {
    return `wait ${this.ms} ms`;
  }
}
