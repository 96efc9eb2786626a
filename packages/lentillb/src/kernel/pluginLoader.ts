/** Finds the plug-ins of the library: every folder beside the kernel that has a `plugin` module. */
import { readdir } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';

const PLUGIN_FILE = /^plugin\.(?:js|ts)$/;
const LIBRARY_ROOT = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

/** Loads every plug-in module of the library; each registers itself. */
export async function loadPlugins(): Promise<void> {
  const entries = await readdir(LIBRARY_ROOT, { recursive: true, withFileTypes: true });
  const files = entries
    .filter((entry) => entry.isFile() && PLUGIN_FILE.test(entry.name))
    .map((entry) => path.join(entry.parentPath, entry.name));
  await Promise.all(files.map((file) => import(pathToFileURL(file).href)));
}
