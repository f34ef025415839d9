/**
 * The daemons' log lines, read back into what explains a day: what became of each request, which seats
 * it was given, and which orders engines got.
 * @module
 */
import * as zod from "zod";

const over = zod.object({
  msg: zod.literal("A request has ended."),
  request: zod.string(),
  route: zod.string(),
  team: zod.string().optional(),
  units: zod.number().optional(),
  ending: zod.string(),
  targetMs: zod.number(),
  expectedMs: zod.number().optional(),
  firstMs: zod.number().optional(),
  tookMs: zod.number(),
  why: zod.string().optional(),
});
const given = zod.object({
  msg: zod.literal("A seat was granted."),
  request: zod.string(),
  waitedMs: zod.number(),
});
const ordered = zod.object({
  msg: zod.literal("An order was sent."),
  daemon: zod.string(),
  order: zod.enum(["load", "unload"]),
  model: zod.string(),
  adapter: zod.string().optional(),
  version: zod.number().optional(),
  result: zod.string(),
});
const ended = zod.object({
  msg: zod.literal("A worker crashed while running a request."),
  daemon: zod.string(),
  request: zod.string(),
  identity: zod.string(),
  endpoint: zod.string(),
  verdict: zod.string(),
});
const refused = zod.object({
  msg: zod.literal("A request was refused."),
  status: zod.number(),
  team: zod.string().optional(),
});
const usedUp = zod.object({
  msg: zod.literal("A total is exhausted."),
  total: zod.string(),
  perS: zod.number(),
});
const line = zod.discriminatedUnion("msg", [over, given, ordered, ended, refused, usedUp]);

export type Over = zod.infer<typeof over> & {
  /** Seconds from the first line of the log to its end. */
  readonly atS: number;
  /** Milliseconds that it waited for the seats that it was given. */
  readonly seatMs: number;
};
export type Order = zod.infer<typeof ordered>;
export type End = zod.infer<typeof ended>;
export type Refused = zod.infer<typeof refused>;
export type UsedUp = zod.infer<typeof usedUp>;

export interface Day {
  readonly requests: readonly Over[];
  readonly orders: readonly Order[];
  /** Ends of workers, one for each request that was on one. */
  readonly ends: readonly End[];
  /** Requests that were not let in. */
  readonly refusals: readonly Refused[];
  /** Moments at which a total over all hosts was used up: a team's cap, or a worker's limit. */
  readonly usedUp: readonly UsedUp[];
}

const MS_PER_S = 1000;

/** Reads log lines; whatever stands before the first brace of a line is passed over. */
export function read(text: string): Day {
  const requests: Over[] = [];
  const orders: Order[] = [];
  const ends: End[] = [];
  const refusals: Refused[] = [];
  const used: UsedUp[] = [];
  const waited = new Map<string, number>();
  let from: number | undefined;
  for (const row of text.split("\n")) {
    const start = row.indexOf("{");
    if (start < 0) continue;
    const fields = parse(row.slice(start));
    if (!fields) continue;
    const at = Date.parse(String(fields.at));
    if (Number.isFinite(at)) from ??= at;
    const known = line.safeParse(fields);
    if (!known.success) continue;
    const said = known.data;
    switch (said.msg) {
      case "A request has ended.": {
        const atS = (at - (from ?? at)) / MS_PER_S;
        requests.push({ ...said, atS, seatMs: waited.get(said.request) ?? 0 });
        break;
      }
      case "A seat was granted.":
        waited.set(said.request, (waited.get(said.request) ?? 0) + said.waitedMs);
        break;
      case "An order was sent.":
        orders.push(said);
        break;
      case "A worker crashed while running a request.":
        ends.push(said);
        break;
      case "A request was refused.":
        refusals.push(said);
        break;
      case "A total is exhausted.":
        used.push(said);
        break;
    }
  }
  return { requests, orders, ends, refusals, usedUp: used };
}

/** The fields of a line; undefined where the line is none of the daemons', or was cut. */
function parse(text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return undefined;
  }
}
