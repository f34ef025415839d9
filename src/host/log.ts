/**
 * Logs: short sentences, each tagged with the part of the daemon that writes it, as text or JSON lines.
 * @module
 */
import * as consola from "consola";

/** The logger of one part of a daemon. */
export interface Log {
  readonly debug: (sentence: string) => void;
  readonly info: (sentence: string) => void;
  readonly warn: (sentence: string) => void;
  readonly error: (sentence: string) => void;
}

const LEVELS = { debug: 4, info: 3, warn: 1, error: 0 } as const;
/** A log level, as a threshold: the lowest level that is written. */
export type Level = keyof typeof LEVELS;

function jsonLines(name: string): consola.ConsolaReporter {
  return {
    log: (o) => {
      const line = {
        at: o.date.toISOString(),
        level: o.type,
        name,
        part: o.tag,
        msg: o.args.join(" "),
      };
      process.stderr.write(`${JSON.stringify(line)}\n`);
    },
  };
}

function textLines(name: string): consola.ConsolaReporter {
  return {
    log: (o) => {
      const at = o.date.toISOString();
      process.stderr.write(`${at} ${o.type} ${name} ${o.tag}: ${o.args.join(" ")}\n`);
    },
  };
}

/** Makes the loggers for the parts of the daemon called `name`. */
export function logs(name: string, level: Level, format: "text" | "json"): (part: string) => Log {
  const root = consola.createConsola({
    level: LEVELS[level],
    reporters: [format === "json" ? jsonLines(name) : textLines(name)],
  });
  return (part) => {
    const tagged = root.withTag(part);
    return {
      debug: (s) => {
        tagged.debug(s);
      },
      info: (s) => {
        tagged.info(s);
      },
      warn: (s) => {
        tagged.warn(s);
      },
      error: (s) => {
        tagged.error(s);
      },
    };
  };
}

/** A logger that writes nothing; for tests and tools. */
export const silent: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
