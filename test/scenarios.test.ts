import * as fs from "node:fs";
import * as gherkin from "@cucumber/gherkin";
import * as messages from "@cucumber/messages";
import "./steps/given.js";
import "./steps/failures.js";
import "./steps/requests.js";
import "./steps/intent.js";
import "./steps/orders.js";
import * as world from "./steps/world.js";

const FOLDER = new URL("../../test/scenarios/", import.meta.url);

function pickles(file: string): readonly messages.Pickle[] {
  const newId = messages.IdGenerator.incrementing();
  const builder = new gherkin.AstBuilder(newId);
  const parser = new gherkin.Parser(builder, new gherkin.GherkinClassicTokenMatcher());
  const document = parser.parse(fs.readFileSync(new URL(file, FOLDER), "utf8"));
  return gherkin.compile(document, file, newId);
}

for (const file of fs.readdirSync(FOLDER).filter((f) => f.endsWith(".feature"))) {
  describe(file, () => {
    for (const pickle of pickles(file)) {
      it(pickle.name, async () => {
        const w = new world.World();
        try {
          for (const s of pickle.steps) await world.runStep(w, s.text);
        } finally {
          await w.startedSite?.stop();
        }
      });
    }
  });
}
