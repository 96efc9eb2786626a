/** Opens the address of a listener in a test. */
import type { AddressListener } from 'lentillb/sidecar';

/**
 * Opens the address of a listener.
 *
 * @param listener - the listener
 * @throws the error if the address is not available
 */
export async function openListener(listener: AddressListener): Promise<void> {
  const ignore = (): void => undefined;
  (await listener.open({ onError: ignore, onClosed: ignore })).unwrap();
}
