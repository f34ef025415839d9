/**
 * Failures: their error codes, whether the request may have run, and the error class that carries them.
 * @module
 */

/**
 * Whether a request that failed has run.
 * - `not_run`: the request certainly reached no engine or service, and may be sent again.
 * - `failed`: the request ran and failed.
 * - `unknown`: the request may have run.
 */
export type Outcome = "not_run" | "failed" | "unknown";

/** HTTP status of each stable error code. */
export const STATUS = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  duplicate: 409,
  stale_epoch: 409,
  too_large: 413,
  limit_reached: 429,
  engine_refused: 400,
  engine_failed: 502,
  answer_mismatch: 502,
  link_broken: 502,
  overloaded: 503,
  leaving: 503,
  not_ready: 503,
  no_endpoint: 503,
  load_failed: 503,
  claim_unproved: 503,
  cancelled: 503,
  deadline: 504,
} as const;

/** The stable error codes of all failures that callers and operators can see. */
export type Code = keyof typeof STATUS;

/** At which step and peer something failed, why, and whether the request may have run. */
export interface Failure {
  readonly code: Code;
  readonly outcome: Outcome;
  /** The step that failed, e.g. `route` or `dispatch`. */
  readonly step: string;
  /** The process or host that the step communicated with. */
  readonly peer: string;
  readonly message: string;
  /** Milliseconds after which a retry makes sense; sent to callers as Retry-After. */
  readonly retryAfterMs?: number | undefined;
}

/** A failure as an error; it carries the step and the peer at which it occurred. */
export class StepError extends Error {
  override readonly name = "StepError";
  constructor(readonly failure: Failure) {
    super(failure.message);
  }
}

/** Creates a {@link StepError} for a request that certainly did not run. */
export function notRun(
  code: Code,
  step: string,
  peer: string,
  message: string,
  retryAfterMs?: number,
): StepError {
  return new StepError({ code, outcome: "not_run", step, peer, message, retryAfterMs });
}

/** The JSON body of a failure, in the error format of the language-model API. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: Code;
    readonly param: null;
    readonly step: string;
    readonly peer: string;
    readonly outcome: Outcome;
    readonly retry_after_ms?: number | undefined;
  };
}

/** Converts a failure to the body that is sent to callers. */
export function toBody(f: Failure): ErrorBody {
  const type = STATUS[f.code] < 500 ? "invalid_request_error" : "server_error";
  return {
    error: {
      message: f.message,
      type,
      code: f.code,
      param: null,
      step: f.step,
      peer: f.peer,
      outcome: f.outcome,
      retry_after_ms: f.retryAfterMs,
    },
  };
}

/** Parses a failure from the body of a daemon's response; undefined if the body is not a failure. */
export function fromBody(text: string): Failure | undefined {
  try {
    const { error } = JSON.parse(text) as Partial<ErrorBody>;
    if (!error || !(error.code in STATUS)) return undefined;
    const { code, outcome, step, peer, message, retry_after_ms } = error;
    return { code, outcome, step, peer, message, retryAfterMs: retry_after_ms };
  } catch {
    return undefined;
  }
}

/**
 * Converts anything thrown to a failure. A {@link StepError} keeps its own step, peer and outcome; the
 * arguments apply to other errors.
 */
export function toFailure(err: unknown, step: string, peer: string, outcome: Outcome): Failure {
  if (err instanceof StepError) return err.failure;
  const message = err instanceof Error ? err.message : String(err);
  return { code: "link_broken", outcome, step, peer, message };
}
