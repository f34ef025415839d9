/**
 * What the steps of one scenario share, and how a step is written down.
 * @module
 */
import * as expressions from "@cucumber/cucumber-expressions";
import * as site from "../../bench/site.js";

/** One scenario's site, and what its callers have got. */
export class World {
  site: site.Site | undefined;
  /** Answers in the order they were asked for, once they are there. */
  readonly asked: Promise<site.Answer>[] = [];
  readonly notes = new Map<string, unknown>();

  /** The site; a scenario begins by starting one. */
  get at(): site.Site {
    if (!this.site) throw new Error("the scenario has no site yet");
    return this.site;
  }

  answers(): Promise<readonly site.Answer[]> {
    return Promise.all(this.asked);
  }

  async last(): Promise<site.Answer> {
    const answer = await this.asked.at(-1);
    if (!answer) throw new Error("nothing was asked yet");
    return answer;
  }
}

type Arg = string | number;

interface Step {
  readonly expression: expressions.CucumberExpression;
  /** Each step names its own arguments' types. */
  readonly run: (world: World, ...args: never[]) => Promise<void> | void;
}

const registry = new expressions.ParameterTypeRegistry();
const steps: Step[] = [];

/** Writes down a step; the expression's parameters become the arguments of `run`. */
export function step(text: string, run: Step["run"]): void {
  const expression = new expressions.CucumberExpression(text, registry);
  steps.push({ expression, run });
}

/** Runs the one step that `text` means. */
export async function perform(world: World, text: string): Promise<void> {
  const matches = steps.flatMap((s) => {
    const args = s.expression.match(text);
    return args ? [{ run: s.run, args: args.map((a) => a.getValue<Arg>(world) ?? "") }] : [];
  });
  const [only, another] = matches;
  if (!only || another) throw new Error(`${matches.length} steps mean "${text}"`);
  await only.run(world, ...(only.args as never[]));
}
