"""Tests of requests over TLS with HTTP/1.1 and HTTP/2."""

import json

import httpcore
import pytest
import trustme

from sardinebend_router import host as host_lib
from tests.common import embedded_host as eh


@pytest.mark.parametrize('version', ['HTTP/1.1', 'HTTP/2'])
async def test_a_draft_is_answered_over_tls(version, tmp_path):
    authority = trustme.CA()
    host = eh.embedded.make_host(port=0)
    host._tls = host_lib.make_tls({'tls': write_tls_files(authority, tmp_path)})
    context = httpcore.default_ssl_context()
    authority.configure_trust(context)
    async with (
        eh.started(host),
        httpcore.AsyncConnectionPool(
            ssl_context=context, http2=version == 'HTTP/2'
        ) as pool,
    ):
        response = await pool.request(
            'POST',
            f'https://127.0.0.1:{host.caller_port}/v1/completions',
            headers={'Authorization': f'Bearer {eh.KEY}'},
            content=eh.draft(),
        )
    assert response.extensions['http_version'] == version.encode()
    assert json.loads(response.content)['usage'] == {'completion_tokens': 3}


def write_tls_files(authority, folder):
    certificate = authority.issue_cert('127.0.0.1')
    files = {
        'cert_file': str(folder / 'cert.pem'),
        'key_file': str(folder / 'key.pem'),
    }
    certificate.cert_chain_pems[0].write_to_path(files['cert_file'])
    certificate.private_key_pem.write_to_path(files['key_file'])
    return files
