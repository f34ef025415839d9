/**
 * Reads and validates declared objects from YAML or JSON. If any object is invalid, none is returned,
 * and the error names the file, the object, the field and what was expected.
 * @module
 */
import * as fs from "node:fs/promises";
import * as yaml from "yaml";
import * as objects from "../contract/objects.js";

/** Reports every fault found in the files, one per line. */
export class FileError extends Error {
  override readonly name = "FileError";
  constructor(readonly faults: readonly string[]) {
    super(faults.join("\n"));
  }
}

/** Parses the objects in `text`; faults refer to it as `file`. Throws {@link FileError}. */
export function parse(text: string, file: string): readonly objects.Obj[] {
  const faults: string[] = [];
  const objs: objects.Obj[] = [];
  for (const [i, doc] of yaml.parseAllDocuments(text).entries()) {
    if ("errors" in doc && doc.errors.length > 0) {
      faults.push(...doc.errors.map((e) => `${file}: ${e.message.split("\n")[0] ?? ""}`));
      continue;
    }
    const raw: unknown = "toJS" in doc ? doc.toJS() : null;
    if (raw === null) continue;
    for (const [j, item] of (Array.isArray(raw) ? raw : [raw]).entries()) {
      validateObject(item, `${file}: ${describeObject(item, i + j + 1)}`, objs, faults);
    }
  }
  const seen = new Set<string>();
  for (const o of objs) {
    const key = objects.keyOf(o);
    if (seen.has(key)) faults.push(`${file}: ${key} is declared twice`);
    seen.add(key);
  }
  if (faults.length > 0) throw new FileError(faults);
  return objs;
}

function describeObject(raw: unknown, position: number): string {
  const o = raw as { kind?: unknown; metadata?: { name?: unknown } } | null;
  const kind = typeof o?.kind === "string" ? o.kind : "object";
  const name = o?.metadata?.name;
  return typeof name === "string" ? `${kind} ${name}` : `${kind} number ${position}`;
}

function validateObject(
  raw: unknown,
  location: string,
  objs: objects.Obj[],
  faults: string[],
): void {
  const parsed = objects.schema.safeParse(raw);
  if (parsed.success) {
    objs.push(parsed.data);
    return;
  }
  for (const issue of parsed.error.issues) {
    const field = issue.path.map(String).join(".");
    faults.push(`${location}: ${field === "" ? "the object" : field}: ${issue.message}`);
  }
}

/** Reads the objects in the given files; `-` is standard input. Throws {@link FileError}. */
export async function read(paths: readonly string[]): Promise<readonly objects.Obj[]> {
  const all: objects.Obj[] = [];
  const faults: string[] = [];
  for (const path of paths) {
    try {
      all.push(...parse(await readOne(path), path));
    } catch (err) {
      if (err instanceof FileError) faults.push(...err.faults);
      else faults.push(`${path}: ${err instanceof Error ? err.message : "cannot be read"}`);
    }
  }
  if (faults.length > 0) throw new FileError(faults);
  return all;
}

async function readOne(path: string): Promise<string> {
  if (path !== "-") return fs.readFile(path, "utf8");
  const parts: Buffer[] = [];
  for await (const part of process.stdin as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString();
}
