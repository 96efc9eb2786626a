/** Loads the plug-ins of the library: every module named `plugin` below the library root. */
import { readdir } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';

const PLUGIN_FILE = /^plugin\.(?:js|ts)$/;
const LIBRARY_ROOT = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

/** Imports every plug-in module of the library. Each module registers its plug-in. */
export async function loadPlugins(): Promise<void> {
  const entries = await readdir(LIBRARY_ROOT, { recursive: true, withFileTypes: true });
  const files = entries
    .filter((entry) => entry.isFile() && PLUGIN_FILE.test(entry.name))
    .map((entry) => path.join(entry.parentPath, entry.name));
  await Promise.all(files.map((file) => import(pathToFileURL(file).href)));
}
