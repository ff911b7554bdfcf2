// The entry point of a tool.

int main()
{
  return 0;
}
