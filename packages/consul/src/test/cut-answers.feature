Feature: answers of the key-value service that are cut short, or none

  Scenario Outline: a write that is answered with "<answer>"
    Guards against a write that counts as lost to another writer though the service may have stored it.
    When a write is answered with "<answer>" after the head "<head>"
    Then its outcome is "<outcome>"

    Examples:
      | head                                        | answer | outcome  |
      | HTTP/1.1 200 OK                             | tru    | unknown  |
      | HTTP/1.1 200 OK                             |        | unknown  |
      | HTTP/1.1 200 OK                             | fals   | unknown  |
      | HTTP/1.1 200 OK\r\nContent-Length: 5        | fals   | unknown  |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip  | false  | unknown  |
      | HTTP/1.1 403 Forbidden\r\nContent-Length: 2 | no     | unknown  |
      | HTTP/1.1 999 X\r\nContent-Length: 5         | false  | unknown  |
      | HTTP/1.1 200 OK                             | true   | stored   |
      | HTTP/1.1 200 OK                             | false  | conflict |
      | HTTP/1.1 200 OK\r\nContent-Length: 4        | true   | stored   |
      | HTTP/1.1 200 OK\r\nContent-Length: 5        | false  | conflict |

  Scenario Outline: a read that is answered with "<answer>"
    Guards against a part of a list that is taken for the whole list.
    When a list is answered with "<answer>" after the head "<head>"
    Then its outcome is "<outcome>"

    Examples:
      | head                                       | answer | outcome |
      | HTTP/1.1 200 OK                            | [      | unknown |
      | HTTP/1.1 200 OK                            |        | unknown |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip | []     | unknown |
      | HTTP/1.1 200 OK                            | []     | 0       |
