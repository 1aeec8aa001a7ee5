import { type IncomingMessage } from 'node:http';
import { type FaultyHttpServer, type HttpResponse, startFaultyHttpServer } from './httpfaults.js';

type Attribute = { readonly S?: string; readonly N?: string };

type Row = Readonly<Record<string, Attribute>>;

interface Action {
  readonly Key?: Row;
  readonly Item?: Row;
  readonly ConditionExpression: string;
  readonly ExpressionAttributeValues?: Row;
}

interface Request {
  readonly Key: Row;
  readonly Limit: number;
  readonly KeyConditionExpression: string;
  readonly ExpressionAttributeValues: Row;
  readonly ExclusiveStartKey?: Row;
  readonly TransactItems: readonly Readonly<Record<string, Action>>[];
}

/** Maximum rows per query response, small so that tests exercise paging. */
const maxPageRows = 3;

function keyOf(row: Row): string {
  return `${row.pk?.S}\n${row.sk?.S}`;
}

function response(body: unknown, status = 200): HttpResponse {
  const headers = { 'content-type': 'application/x-amz-json-1.0' };
  return { status, headers, body: JSON.stringify(body) };
}

function failure(type: string, details: object = {}): HttpResponse {
  const __type = `com.amazonaws.dynamodb.v20120810#${type}`;
  return response({ __type, message: type, ...details }, 400);
}

/** Stand-in for a DynamoDB-compatible table: GetItem, Query and TransactWriteItems. */
export function startDynamodb(): Promise<FaultyHttpServer> {
  const rows = new Map<string, Row>();

  const isConditionMet = (action: Action): boolean => {
    const row = rows.get(keyOf((action.Item ?? action.Key) as Row));
    if (action.ConditionExpression === 'attribute_not_exists(pk)') return !row;
    return (
      row !== undefined && row.version?.N === action.ExpressionAttributeValues?.[':version']?.N
    );
  };

  const operations: Readonly<Record<string, (req: Request) => HttpResponse>> = {
    GetItem: ({ Key }) => response({ Item: rows.get(keyOf(Key)) }),
    Query({ Limit, ExpressionAttributeValues: values, ExclusiveStartKey }) {
      const after = ExclusiveStartKey?.sk?.S ?? values[':after']?.S ?? '';
      const found = [...rows.values()]
        .filter((row) => row.pk?.S === values[':pk']?.S && (row.sk?.S ?? '') > after)
        .sort((a, b) => ((a.sk?.S ?? '') < (b.sk?.S ?? '') ? -1 : 1));
      const page = found.slice(0, Math.min(Limit, maxPageRows));
      const last = page.at(-1);
      const hasMore = found.length > page.length && last;
      return response({
        Items: page,
        ...(hasMore && { LastEvaluatedKey: { pk: last.pk, sk: last.sk } }),
      });
    },
    TransactWriteItems({ TransactItems }) {
      const actions = TransactItems.map((item) => Object.entries(item)[0] as [string, Action]);
      const reasons = actions.map(([, action]) => ({
        Code: isConditionMet(action) ? 'None' : 'ConditionalCheckFailed',
      }));
      if (reasons.some(({ Code }) => Code !== 'None')) {
        return failure('TransactionCanceledException', { CancellationReasons: reasons });
      }
      for (const [name, action] of actions) {
        if (name === 'Put') rows.set(keyOf(action.Item as Row), action.Item as Row);
        if (name === 'Delete') rows.delete(keyOf(action.Key as Row));
      }
      return response({});
    },
  };

  const handle = (req: IncomingMessage, body: Buffer): HttpResponse => {
    const name = String(req.headers['x-amz-target']).replace('DynamoDB_20120810.', '');
    const operation = operations[name];
    if (!operation || !req.headers.authorization) return failure('UnknownOperationException');
    return operation(JSON.parse(body.toString('utf8')) as Request);
  };
  return startFaultyHttpServer({ handle, rejection: failure('ThrottlingException') });
}
