/**
 * The structured log: one JSON line for each decision that affects a request or changes the state of
 * the process, with the inputs of that decision.
 * @module
 */
import * as consola from "consola/core";
import type * as clock from "./clock.js";
import type * as lineSink from "./line-sink.js";

/** The fields of a line besides its sentence. */
export type Fields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** The logger of one part of a daemon. */
export interface Log {
  readonly info: (sentence: string, fields?: Fields) => void;
  readonly warn: (sentence: string, fields?: Fields) => void;
  readonly error: (sentence: string, fields?: Fields) => void;
}

/** The fixed fields of a line; its own {@link Fields} follow on the same level. */
interface Line {
  readonly at: string;
  readonly level: string;
  readonly daemon: string;
  readonly part: string;
  readonly msg: string;
}

/** Makes the logger of the part with this name. */
export type LogFactory = (part: string) => Log;

/** Makes loggers for the parts of one daemon, all writing to the same sink. */
export function open(daemon: string, clk: clock.Clock, output: lineSink.LineSink): LogFactory {
  const root = consola.createConsola({
    level: 3,
    throttle: 0,
    reporters: [
      {
        log: (o) => {
          const [sentence, fields] = o.args as [string, Fields | undefined];
          const line: Line & Record<string, unknown> = {
            at: clk.now().toISOString(),
            level: o.type,
            daemon,
            part: o.tag,
            msg: sentence,
          };
          // Spreading a second object with this many fields is slow in V8.
          for (const [name, value] of Object.entries(fields ?? {}))
            if (value !== undefined) line[name] = value;
          output.writeLine(JSON.stringify(line));
        },
      },
    ],
  });
  return (part) => {
    const tagged = root.withTag(part);
    return {
      info: (s, f) => {
        tagged.info(s, f);
      },
      warn: (s, f) => {
        tagged.warn(s, f);
      },
      error: (s, f) => {
        tagged.error(s, f);
      },
    };
  };
}

/** A logger that writes nothing; for tests. */
export const silent: Log = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
