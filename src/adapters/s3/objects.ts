import type { S3Client } from '@aws-sdk/client-s3';
import { type Disposable } from '../../base/lifecycle.js';
import { type ObjectPort } from '../../ports/objects.js';
import { callStore, clientSettings, type StoreEndpoint } from '../storecall.js';

/** Object store adapter for the S3 protocol. */
export interface S3Objects extends ObjectPort, Disposable {}

export interface S3ObjectsOptions extends StoreEndpoint {
  readonly bucket: string;
}

/** Creates the adapter; the SDK is loaded at the first call. */
export function createS3Objects(options: S3ObjectsOptions): S3Objects {
  const { bucket: Bucket } = options;
  let client: S3Client | undefined;

  const loadClient = async () => {
    const sdk = await import('@aws-sdk/client-s3');
    client ??= new sdk.S3Client({
      ...clientSettings(options),
      forcePathStyle: true,
      requestChecksumCalculation: 'WHEN_REQUIRED',
      responseChecksumValidation: 'WHEN_REQUIRED',
    });
    return { sdk, s3: client };
  };

  return {
    async put(key, body, token) {
      const { sdk, s3 } = await loadClient();
      const command = new sdk.PutObjectCommand({ Bucket, Key: key, Body: body });
      await callStore('write', token, (abortSignal) => s3.send(command, { abortSignal }));
    },
    async get(key, token) {
      const { sdk, s3 } = await loadClient();
      const command = new sdk.GetObjectCommand({ Bucket, Key: key });
      return callStore('read', token, async (abortSignal) => {
        try {
          const reply = await s3.send(command, { abortSignal });
          return await reply.Body?.transformToByteArray();
        } catch (err) {
          if (err instanceof sdk.NoSuchKey) return undefined;
          throw err;
        }
      });
    },
    dispose() {
      client?.destroy();
    },
  };
}
