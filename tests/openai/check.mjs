// Checks with the stock client that an entry instance speaks the OpenAI-compatible interface.
import assert from 'node:assert';
import OpenAI from 'openai';

const model = 'guest-chat@3';
const messages = [{role: 'user', content: 'hello'}];
const client = new OpenAI({baseURL: `${process.argv[2]}/v1`, apiKey: 'none', maxRetries: 0});

const plain = await client.chat.completions.create({model, messages});
assert.ok(plain.choices[0].message.content.length > 0);

let text = '';
const stream = await client.chat.completions.create({model, messages, stream: true});
for await (const part of stream)
    text += part.choices[0]?.delta?.content ?? '';
assert.strictEqual(text, plain.choices[0].message.content);

const models = await client.models.list();
assert.ok(models.data.some((each) => each.id === model));

await assert.rejects(client.chat.completions.create({model: 'unknown', messages}),
                     {status: 404, code: 'model_not_found', param: 'model'});
console.log('4 passed, 0 failed');
