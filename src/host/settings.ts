/**
 * Tables of settings, read from flags and environment variables and validated before anything starts.
 * @module
 */
import * as zod from "zod";

/** One setting. */
export interface Setting<T> {
  /** Name of the flag in camel case, without dashes. */
  readonly name: string;
  readonly env: string;
  /** Description in one line, with the unit. */
  readonly help: string;
  /** The expected form, for error messages and `--help`. */
  readonly form: string;
  readonly default?: string;
  /** Whether the value is a secret, which is never shown. */
  readonly secret?: boolean;
  readonly schema: zod.ZodType<T>;
}

/** An invalid or missing setting; the message has its name, its value unless secret, and the expected form. */
export class SettingError extends Error {
  override readonly name = "SettingError";
}

/** Settings by their key in the result. */
type Table = Readonly<Record<string, Setting<unknown>>>;
/** The validated values of a table. */
export type Values<T extends Table> = {
  readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

function envOf(name: string): string {
  return `SUMACFIELD_${name.replaceAll(/[A-Z]/g, (c) => `_${c}`).toUpperCase()}`;
}

/** What every kind of setting takes besides its name. */
type Base = Pick<Setting<unknown>, "help" | "default" | "secret">;

function make<T>(name: string, form: string, schema: zod.ZodType<T>, base: Base): Setting<T> {
  return { name, env: envOf(name), form, schema, ...base };
}

/** An integer of at least `min`. */
export function int(name: string, min: number, base: Base): Setting<number> {
  return make(name, `a whole number of ${min} or more`, zod.coerce.number().int().min(min), base);
}

/** Any text that is not empty. */
export function text(name: string, base: Base): Setting<string> {
  return make(name, "text", zod.string().min(1), base);
}

/** Text that may be left out. */
export function optionalText(name: string, base: Base): Setting<string | undefined> {
  return make(name, "text", zod.string().min(1).optional(), base);
}

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** An IPv4 address and a port. */
export function address(name: string, base: Base): Setting<string> {
  return make(
    name,
    "an IP number and a port, e.g. 10.0.0.7:7000",
    zod.string().regex(ADDRESS),
    base,
  );
}

/** An `http:` or `https:` URL; a trailing slash is removed. */
export function url(name: string, base: Base): Setting<string> {
  const schema = zod.url({ protocol: /^https?$/ }).transform((u) => u.replace(/\/$/, ""));
  return make(name, "an address such as http://10.0.0.5:2379", schema, base);
}

/** One of the words in `words`. */
export function oneOf<const W extends readonly [string, ...string[]]>(
  name: string,
  words: W,
  base: Base,
): Setting<W[number]> {
  return make(name, words.join(" or "), zod.enum(words), base);
}

/** Secrets separated by commas, each of at least `length` characters. */
export function secrets(name: string, length: number, base: Base) {
  const secret = zod.string().min(length);
  const schema = zod
    .string()
    .transform((s) => s.split(","))
    .pipe(zod.tuple([secret], secret));
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

/** Reads and validates the settings of a table; flags take precedence over the environment. Throws {@link SettingError}. */
export function read<T extends Table>(
  table: T,
  flags: Readonly<Record<string, unknown>>,
  env: Readonly<Record<string, string | undefined>>,
): Values<T> {
  const values: Record<string, unknown> = {};
  for (const [key, s] of Object.entries(table)) {
    const flag = flags[s.name];
    const raw = typeof flag === "string" && flag !== "" ? flag : (env[s.env] ?? s.default);
    const parsed = s.schema.safeParse(raw);
    if (!parsed.success) throw settingError(s, raw);
    values[key] = parsed.data;
  }
  return values as Values<T>;
}

function settingError(s: Setting<unknown>, raw: string | undefined): SettingError {
  const label = `--${kebabCase(s.name)} (${s.env})`;
  if (raw === undefined) return new SettingError(`${label} is missing: expected ${s.form}.`);
  const value = s.secret ? "the value given" : `"${raw}"`;
  return new SettingError(`${label}: ${value} is not ${s.form}.`);
}

/** Converts camel case to kebab case: `linkAddress` to `link-address`. */
export function kebabCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
}

/** The lines of a table in `--help`. */
export function helpText(table: Table): string {
  return Object.values(table)
    .map((s) => {
      const defaultText = s.default === undefined ? "" : ` Default: ${s.default}.`;
      return `    --${kebabCase(s.name)}, ${s.env}\n        ${s.help} Form: ${s.form}.${defaultText}`;
    })
    .join("\n");
}
