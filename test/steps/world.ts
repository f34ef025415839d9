/**
 * The state that the steps of one scenario share, and the registry of steps.
 * @module
 */
import * as expressions from "@cucumber/cucumber-expressions";
import * as site from "../../bench/site.js";

/** The site of one scenario, its callers' answers, and values that steps leave for later ones. */
export class World {
  /** The scenario's site; undefined until a step starts it. */
  startedSite: site.Site | undefined;
  /** The answers of all requests, in the order in which these were sent. */
  readonly pendingAnswers: Promise<site.Answer>[] = [];
  /** Values that one step records for another, by name. */
  readonly notes = new Map<string, unknown>();

  /** The scenario's site; throws when no step has started one. */
  get site(): site.Site {
    if (!this.startedSite) throw new Error("no step of the scenario has started a site");
    return this.startedSite;
  }

  /** Waits for all answers. */
  answers(): Promise<readonly site.Answer[]> {
    return Promise.all(this.pendingAnswers);
  }

  /** Waits for the answer of the last request. */
  async lastAnswer(): Promise<site.Answer> {
    const answer = await this.pendingAnswers.at(-1);
    if (!answer) throw new Error("no request has been sent");
    return answer;
  }
}

type Arg = string | number;

interface Step {
  readonly expression: expressions.CucumberExpression;
  /** `never`, as each step declares the types of its own arguments. */
  readonly run: (world: World, ...args: never[]) => Promise<void> | void;
}

const registry = new expressions.ParameterTypeRegistry();
const steps: Step[] = [];

/** Registers a step; the parameters of the expression become the arguments of `run`. */
export function step(text: string, run: Step["run"]): void {
  const expression = new expressions.CucumberExpression(text, registry);
  steps.push({ expression, run });
}

/** Runs the step that matches `text`; throws unless exactly one does. */
export async function runStep(world: World, text: string): Promise<void> {
  const matches = steps.flatMap((s) => {
    const args = s.expression.match(text);
    return args ? [{ run: s.run, args: args.map((a) => a.getValue<Arg>(world) ?? "") }] : [];
  });
  const [only, another] = matches;
  if (!only || another) throw new Error(`${matches.length} steps match "${text}"`);
  await only.run(world, ...(only.args as never[]));
}
