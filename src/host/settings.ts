/**
 * One table of settings for flags and environment variables, checked before anything starts.
 * @module
 */
import * as zod from "zod";

/** One setting. */
export interface Setting<T> {
  /** Name of the flag without dashes, in camel case. */
  readonly name: string;
  readonly env: string;
  /** Meaning in one line, with the unit. */
  readonly help: string;
  /** The form expected, for a refusal. */
  readonly form: string;
  readonly default?: string;
  /** A secret's value is never shown. */
  readonly secret?: boolean;
  readonly schema: zod.ZodType<T>;
}

/** A wrong or missing setting: its name, its value and the form expected. */
export class SettingError extends Error {
  override readonly name = "SettingError";
}

type Table = Readonly<Record<string, Setting<unknown>>>;
/** The checked values of a table. */
export type Values<T extends Table> = {
  readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

function envOf(name: string): string {
  return `SUMACFIELD_${name.replaceAll(/[A-Z]/g, (c) => `_${c}`).toUpperCase()}`;
}

type Base = Pick<Setting<unknown>, "help" | "default" | "secret">;

function make<T>(name: string, form: string, schema: zod.ZodType<T>, base: Base): Setting<T> {
  return { name, env: envOf(name), form, schema, ...base };
}

/** A whole number of at least `min`. */
export function int(name: string, min: number, base: Base): Setting<number> {
  return make(name, `a whole number of ${min} or more`, zod.coerce.number().int().min(min), base);
}

/** Free text of one character or more. */
export function text(name: string, base: Base): Setting<string> {
  return make(name, "text", zod.string().min(1), base);
}

/** Text that may be left out. */
export function optional(name: string, base: Base): Setting<string | undefined> {
  return make(name, "text", zod.string().min(1).optional(), base);
}

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** An IP number and a port. */
export function address(name: string, base: Base): Setting<string> {
  return make(
    name,
    "an IP number and a port, e.g. 10.0.0.7:7000",
    zod.string().regex(ADDRESS),
    base,
  );
}

/** An `http:` address. */
export function url(name: string, base: Base): Setting<string> {
  const schema = zod.url({ protocol: /^https?$/ }).transform((u) => u.replace(/\/$/, ""));
  return make(name, "an address such as http://10.0.0.5:2379", schema, base);
}

/** One of a few words. */
export function word<const W extends readonly [string, ...string[]]>(
  name: string,
  words: W,
  base: Base,
): Setting<W[number]> {
  return make(name, words.join(" or "), zod.enum(words), base);
}

/** Secrets separated by commas, each of at least `length` characters. */
export function secrets(name: string, length: number, base: Base) {
  const one = zod.string().min(length);
  const schema = zod
    .string()
    .transform((s) => s.split(","))
    .pipe(zod.tuple([one], one));
  return make(
    name,
    `one or more keys of ${length} characters or more, separated by commas`,
    schema,
    {
      ...base,
      secret: true,
    },
  );
}

/** Checks a table against flags and the environment; flags win. Throws {@link SettingError}. */
export function read<T extends Table>(
  table: T,
  flags: Readonly<Record<string, unknown>>,
  env: Readonly<Record<string, string | undefined>>,
): Values<T> {
  const out: Record<string, unknown> = {};
  for (const [key, s] of Object.entries(table)) {
    const flag = flags[s.name];
    const raw = typeof flag === "string" && flag !== "" ? flag : (env[s.env] ?? s.default);
    const parsed = s.schema.safeParse(raw);
    if (!parsed.success) throw refusal(s, raw);
    out[key] = parsed.data;
  }
  return out as Values<T>;
}

function refusal(s: Setting<unknown>, raw: string | undefined): SettingError {
  const named = `--${kebab(s.name)} (${s.env})`;
  if (raw === undefined) return new SettingError(`${named} is missing: expected ${s.form}.`);
  const value = s.secret ? "the value given" : `"${raw}"`;
  return new SettingError(`${named}: ${value} is not ${s.form}.`);
}

/** `linkAddress` as `link-address`. */
export function kebab(name: string): string {
  return name.replaceAll(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
}

/** The table as lines for `--help`. */
export function help(table: Table): string {
  return Object.values(table)
    .map((s) => {
      const standard = s.default === undefined ? "" : ` Default: ${s.default}.`;
      return `    --${kebab(s.name)}, ${s.env}\n        ${s.help} Form: ${s.form}.${standard}`;
    })
    .join("\n");
}
