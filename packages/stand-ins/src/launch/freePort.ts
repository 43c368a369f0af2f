import { createServer } from 'node:net';

/** Finds a free port on loopback. */
export async function findFreePort(): Promise<number> {
  return await new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      server.close(() => {
        resolve(typeof bound === 'object' && bound !== null ? bound.port : 0);
      });
    });
  });
}
